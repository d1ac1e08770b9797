#ifndef HEMLOCKWICK_CORE_TIME_H_
#define HEMLOCKWICK_CORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace hemlockwick {

using Duration = std::chrono::nanoseconds;

// The clock behind every time-dependent decision: nanoseconds since the Unix
// epoch, read once at process start and advanced by CLOCK_BOOTTIME. It never
// steps back, and it includes the time for which the process or machine was
// suspended. Tests advance it by hand. The clocks of two instances differ by at
// most kMaxClockSkew.
struct MonotonicUnixClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicUnixClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicUnixClock::time_point;

// Largest difference between the clocks of two instances, which NTP
// synchronises.
inline constexpr Duration kMaxClockSkew = std::chrono::milliseconds(500);

// Returns the duration in seconds, including the fraction.
[[nodiscard]] constexpr auto ToSeconds(Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

// Returns the duration in milliseconds, truncated.
[[nodiscard]] constexpr auto ToMillis(Duration duration) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Returns milliseconds since the Unix epoch, truncated.
[[nodiscard]] constexpr auto ToUnixMillis(TimePoint time) -> std::int64_t {
  return ToMillis(time.time_since_epoch());
}

[[nodiscard]] constexpr auto FromUnixMillis(std::int64_t millis) -> TimePoint {
  return TimePoint(std::chrono::milliseconds(millis));
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_TIME_H_
