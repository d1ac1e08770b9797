#ifndef HEMLOCKWICK_MEASURE_FLOW_BENCH_H_
#define HEMLOCKWICK_MEASURE_FLOW_BENCH_H_

#include <cstddef>
#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// Time per packet of a settled decision, and of hashing the 5-tuple and one
// lookup in the same table.
struct DecisionCost {
  double decision_nanoseconds = 0;
  double lookup_nanoseconds = 0;

  [[nodiscard]] auto ratio() const -> double {
    return decision_nanoseconds / lookup_nanoseconds;
  }
};

// Measures both in turn, many times, and returns the pair with the median
// ratio.
[[nodiscard]] auto MeasureDecision(std::uint64_t seed) -> DecisionCost;

// What a table algorithm gives for one endpoint less of `endpoints`.
struct TableCost {
  double build_seconds = 0;
  double imbalance = 0;     // Buckets per endpoint, max/mean.
  double moved_share = 0;   // Buckets that changed their owner.
  double needed_share = 0;  // Buckets of the endpoint that left.
};

template <typename Algorithm>
[[nodiscard]] auto MeasureTable(std::size_t endpoints, std::uint32_t buckets)
    -> TableCost;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_BENCH_H_
