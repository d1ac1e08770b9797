#ifndef HEMLOCKWICK_MEASURE_FLEET_SLOPES_H_
#define HEMLOCKWICK_MEASURE_FLEET_SLOPES_H_

#include <cstdint>
#include <vector>

#include "Measure/slope.h"

namespace hemlockwick {

// Costs of membership and configuration distribution on one instance, each
// measured at several sizes.
[[nodiscard]] auto FleetSlopes(std::uint64_t seed) -> std::vector<Slope>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_SLOPES_H_
