#ifndef HEMLOCKWICK_RUNTIME_INBOX_H_
#define HEMLOCKWICK_RUNTIME_INBOX_H_

#include <condition_variable>
#include <mutex>
#include <utility>
#include <vector>

#include "Core/time.h"

namespace hemlockwick {

// Queue of inputs for a single consumer thread. Any thread may push.
template <typename Input>
class Inbox {
 public:
  void Push(Input input) {
    {
      const std::lock_guard lock(mutex_);
      waiting_.push_back(std::move(input));
    }
    arrived_.notify_one();
  }

  // Waits up to `wait` for an input and removes and returns all inputs in
  // order.
  auto TakeAll(Duration wait) -> std::vector<Input> {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, wait, [this] { return !waiting_.empty(); });
    return std::exchange(waiting_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::vector<Input> waiting_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_INBOX_H_
