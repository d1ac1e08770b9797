#ifndef HEMLOCKWICK_MEASURE_FLOW_SLOPES_H_
#define HEMLOCKWICK_MEASURE_FLOW_SLOPES_H_

#include <cstdint>
#include <vector>

#include "Measure/slope.h"

namespace hemlockwick {

// Costs of the flow module against endpoints, buckets, services, flows,
// instances and changes. Takes some seconds.
[[nodiscard]] auto FlowSlopes(std::uint64_t seed) -> std::vector<Slope>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_SLOPES_H_
