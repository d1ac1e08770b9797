#include "Runtime/system_clock.h"

#include <ctime>

namespace hemlockwick {

namespace {

auto ReadClock(clockid_t clock) -> Duration {
  auto time = timespec{};
  clock_gettime(clock, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

}  // namespace

SystemClock::SystemClock()
    : offset_(ReadClock(CLOCK_REALTIME) - ReadClock(CLOCK_BOOTTIME)) {}

auto SystemClock::Now() const -> TimePoint {
  return TimePoint(offset_ + ReadClock(CLOCK_BOOTTIME));
}

}  // namespace hemlockwick
