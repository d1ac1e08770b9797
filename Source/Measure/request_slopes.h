#ifndef HEMLOCKWICK_MEASURE_REQUEST_SLOPES_H_
#define HEMLOCKWICK_MEASURE_REQUEST_SLOPES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Measure/slope.h"

namespace hemlockwick {

// Returns the seconds of one core that the decisions of one request take when
// its service has `endpoints` endpoints: the least of several rounds.
[[nodiscard]] auto DecisionSeconds(std::size_t endpoints, std::uint64_t seed)
    -> double;

// Capacity slopes of the request plane, for docs/CAPACITY.md.
[[nodiscard]] auto RequestSlopes(std::uint64_t seed) -> std::vector<Slope>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUEST_SLOPES_H_
