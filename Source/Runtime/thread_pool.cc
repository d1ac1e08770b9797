#include "Runtime/thread_pool.h"

#include <utility>

namespace hemlockwick {

ThreadPool::ThreadPool(std::size_t threads, std::size_t max_waiting)
    : max_waiting_(max_waiting) {
  threads_.reserve(threads);
  for (auto index = std::size_t{0}; index < threads; ++index) {
    threads_.emplace_back([this] { Run(); });
  }
}

ThreadPool::~ThreadPool() {
  {
    const auto lock = std::lock_guard(mutex_);
    stopping_ = true;
    waiting_.clear();
  }
  arrived_.notify_all();
}

auto ThreadPool::TrySubmit(Task task) -> bool {
  {
    const auto lock = std::lock_guard(mutex_);
    if (stopping_ || waiting_.size() >= max_waiting_) {
      return false;
    }
    waiting_.push_back(std::move(task));
  }
  arrived_.notify_one();
  return true;
}

void ThreadPool::Run() {
  while (true) {
    auto lock = std::unique_lock(mutex_);
    arrived_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (stopping_) {
      return;
    }
    const auto task = std::move(waiting_.front());
    waiting_.pop_front();
    lock.unlock();
    task();
  }
}

}  // namespace hemlockwick
