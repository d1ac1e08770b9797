#ifndef HEMLOCKWICK_MEASURE_STOPWATCH_H_
#define HEMLOCKWICK_MEASURE_STOPWATCH_H_

#include <chrono>

namespace hemlockwick {

// Measures the time since it was made.
class Stopwatch {
 public:
  [[nodiscard]] auto Seconds() const -> double {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         start_)
        .count();
  }

 private:
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_STOPWATCH_H_
