#ifndef HEMLOCKWICK_RUNTIME_TASK_POOL_H_
#define HEMLOCKWICK_RUNTIME_TASK_POOL_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace hemlockwick {

// A fixed number of threads that run tasks which may wait. Any thread may
// submit.
class TaskPool {
 public:
  using Task = std::function<void()>;

  TaskPool(std::size_t threads, std::size_t max_waiting);

  // Lets running tasks finish and drops those that still wait.
  ~TaskPool();
  TaskPool(const TaskPool&) = delete;
  auto operator=(const TaskPool&) -> TaskPool& = delete;

  // Returns false, without running the task, when too many wait already.
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

#endif  // HEMLOCKWICK_RUNTIME_TASK_POOL_H_
