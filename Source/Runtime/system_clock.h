#ifndef HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_
#define HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_

#include "Core/time.h"

namespace hemlockwick {

// Reads the decision clock: the wall time at construction, advanced by
// CLOCK_BOOTTIME.
class SystemClock {
 public:
  SystemClock();

  [[nodiscard]] auto Now() const -> TimePoint;

 private:
  Duration offset_;  // Unix time minus CLOCK_BOOTTIME at construction.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_SYSTEM_CLOCK_H_
