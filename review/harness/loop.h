#ifndef HEMLOCKWICK_REVIEW_LOOP_H_
#define HEMLOCKWICK_REVIEW_LOOP_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>

namespace review {

// Seconds since the start of the run, on the steady clock.
using Seconds = double;

// A single-threaded event loop with timers and file descriptors.
class Loop {
 public:
  using Action = std::function<void()>;

  [[nodiscard]] auto Now() const -> Seconds;

  void After(Seconds delay, Action action);
  void Every(Seconds interval, const Action& action);

  // Calls `action` whenever `fd` can be read, until Forget.
  void OnReadable(int fd, Action action);
  // The same for writing; removed after one call.
  void OnWritable(int fd, Action action);
  void Forget(int fd);

  void RunUntil(Seconds end);

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::multimap<Seconds, Action> timers_;
  std::map<int, Action> readable_;
  std::map<int, Action> writable_;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_LOOP_H_
