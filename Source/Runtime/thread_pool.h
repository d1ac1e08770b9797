#ifndef HEMLOCKWICK_RUNTIME_THREAD_POOL_H_
#define HEMLOCKWICK_RUNTIME_THREAD_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hemlockwick {

// A thread pool of fixed size for tasks that may block. Any thread may submit.
class ThreadPool {
 public:
  using Task = std::function<void()>;

  ThreadPool(std::size_t threads, std::size_t max_waiting);

  // Waits for running tasks and discards those that have not started.
  ~ThreadPool();
  ThreadPool(const ThreadPool&) = delete;
  auto operator=(const ThreadPool&) -> ThreadPool& = delete;

  // Returns false, without running the task, if the queue is full.
  [[nodiscard]] auto TrySubmit(Task task) -> bool;

 private:
  void Run();

  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<Task> waiting_;
  bool stopping_ = false;
  std::vector<std::jthread> threads_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_THREAD_POOL_H_
