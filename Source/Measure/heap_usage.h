#ifndef HEMLOCKWICK_MEASURE_HEAP_USAGE_H_
#define HEMLOCKWICK_MEASURE_HEAP_USAGE_H_

#include <malloc.h>

namespace hemlockwick {

// Bytes of this process's heap that are in use.
[[nodiscard]] inline auto HeapBytes() -> double {
  const auto usage = mallinfo2();
  return static_cast<double>(usage.uordblks + usage.hblkhd);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_HEAP_USAGE_H_
