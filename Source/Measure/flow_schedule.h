#ifndef HEMLOCKWICK_MEASURE_FLOW_SCHEDULE_H_
#define HEMLOCKWICK_MEASURE_FLOW_SCHEDULE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/time.h"

namespace hemlockwick {

enum class FlowEventKind {
  kDrain,      // Endpoint `target` leaves.
  kAdd,        // A cold endpoint joins.
  kReplace,    // Endpoint `target` leaves and a cold one joins.
  kStop,       // Instance `target` stops as planned.
  kKill,       // Instance `target` dies.
  kJoin,       // A new instance starts.
  kRolling,    // All instances are restarted one after the other.
  kPause,      // Instance `target` is suspended for `length`.
  kPartition,  // Data centre `target` is cut off for `length`.
};

// Name of the kind in schedule files, for example "drain".
[[nodiscard]] auto ToString(FlowEventKind kind) -> std::string_view;

struct FlowEvent {
  Duration at{0};  // Since the start of the run.
  FlowEventKind kind = FlowEventKind::kDrain;
  std::size_t target = 0;
  Duration length{0};
};

// Faults and changes of one run.
struct FlowSchedule {
  std::string name;
  Duration duration = std::chrono::minutes(18);
  std::size_t flows_per_endpoint = 2000;
  std::vector<FlowEvent> events;
};

// Reads a YAML schedule; docs/help/measure-flows.md documents the format.
// Fails with kNotFound or kInvalidArgument, naming file and line.
[[nodiscard]] auto ReadFlowSchedule(const std::string& path)
    -> Result<FlowSchedule>;

// Every kind of event alone, every pair at once ("a+b"), and every pair with
// the second event 45 s after the first ("a,b"); pairs of one kind included.
// A change of endpoints precedes them, so that there are records to lose.
[[nodiscard]] auto StandardFlowSchedules() -> std::vector<FlowSchedule>;

// A day of idle flows under one change an hour.
[[nodiscard]] auto DayFlowSchedule() -> FlowSchedule;

// Whether the events leave two instances dead at once without a plan.
[[nodiscard]] auto HasTwoDeaths(const FlowSchedule& schedule) -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_SCHEDULE_H_
