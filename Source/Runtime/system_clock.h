#ifndef HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_
#define HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_

#include "Core/time.h"

namespace hemlockwick {

// The clock for all decisions: the wall-clock time at construction, advanced by
// CLOCK_BOOTTIME. Later changes of the wall clock do not affect it, and it
// includes time in which the machine is suspended.
class SystemClock {
 public:
  SystemClock();

  [[nodiscard]] auto Now() const -> TimePoint;

 private:
  Duration offset_;  // Unix time minus CLOCK_BOOTTIME at construction.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_
