#ifndef HEMLOCKWICK_MEASURE_FLEET_SCHEDULE_H_
#define HEMLOCKWICK_MEASURE_FLEET_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/time.h"
#include "Measure/config_publisher.h"
#include "Measure/fleet_simulation.h"

namespace hemlockwick {

enum class FaultKind {
  kPublish,           // A new version.
  kKill,              // An instance ends without notice.
  kStart,             // A killed instance starts anew.
  kPause,             // An instance stops for a time.
  kCut,               // Two data centres lose each other.
  kJoin,              // They are joined again.
  kCutPlatform,       // A data centre loses the platform.
  kJoinPlatform,      // It reaches the platform again.
  kPlatformDown,      // The platform answers nothing.
  kPlatformFrozen,    // The platform serves what it has now.
  kPlatformCurrent,   // The platform serves what is published.
  kPlatformRollBack,  // The platform goes back to what kPlatformSave kept.
  kPlatformSave,
};

// One step of a schedule.
struct Fault {
  Duration at{0};  // Since the start of the schedule.
  FaultKind kind = FaultKind::kPublish;
  std::size_t target = 0;  // An instance or a data centre.
  std::size_t other = 0;   // The other data centre of a cut.
  Duration duration{0};    // Of a pause.
};

// Reads a schedule: a YAML list of {at, do, target, other, duration}, where
// `do` is for example "cut_platform" and times are written as "1500ms". Fails
// with kInvalidArgument and the line.
[[nodiscard]] auto ParseFleetSchedule(const std::string& text)
    -> Result<std::vector<Fault>>;

// A schedule of `time` with stale, rolled-back and absent platforms,
// partitions, pauses, deaths and starts.
[[nodiscard]] auto RandomFleetSchedule(const FleetSimulation& fleet,
                                       std::size_t data_centres, Duration time,
                                       std::uint64_t seed)
    -> std::vector<Fault>;

// Runs a schedule from now on.
void RunFleetSchedule(const std::vector<Fault>& schedule,
                      ConfigPublisher& publisher, FleetSimulation& fleet);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_SCHEDULE_H_
