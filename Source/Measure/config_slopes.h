#ifndef HEMLOCKWICK_MEASURE_CONFIG_SLOPES_H_
#define HEMLOCKWICK_MEASURE_CONFIG_SLOPES_H_

#include <cstdint>
#include <vector>

#include "Core/error.h"
#include "Measure/slope.h"

namespace hemlockwick {

// Measures how check time, published bytes, assembly time and assembled memory
// grow with the number of endpoints, at 4.4 endpoints a service.
[[nodiscard]] auto ConfigSlopes(std::uint64_t seed) -> std::vector<Slope>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CONFIG_SLOPES_H_
