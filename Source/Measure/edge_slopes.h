#ifndef HEMLOCKWICK_MEASURE_EDGE_SLOPES_H_
#define HEMLOCKWICK_MEASURE_EDGE_SLOPES_H_

#include <cstdint>
#include <vector>

#include "Measure/slope.h"

namespace hemlockwick {

// Measures how the directory of an edge process grows with its endpoints, at
// 4.4 endpoints a service: memory, the work of one change, bytes on the way
// from a relay; and how tracked flows grow.
[[nodiscard]] auto EdgeSlopes(std::uint64_t seed) -> std::vector<Slope>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_EDGE_SLOPES_H_
