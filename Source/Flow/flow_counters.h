#ifndef HEMLOCKWICK_FLOW_FLOW_COUNTERS_H_
#define HEMLOCKWICK_FLOW_FLOW_COUNTERS_H_

#include <atomic>
#include <cstddef>

namespace hemlockwick {

// Counters of one router, explained at FlowStats. Any thread may increment
// them.
struct FlowCounters {
  std::atomic<std::size_t> relayed{0};
  std::atomic<std::size_t> unrecorded{0};
  std::atomic<std::size_t> refused{0};
  std::atomic<std::size_t> conflicts{0};
  std::atomic<std::size_t> lost_records{0};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_COUNTERS_H_
