#ifndef HEMLOCKWICK_MEASURE_FLEET_MEASURE_H_
#define HEMLOCKWICK_MEASURE_FLEET_MEASURE_H_

#include <cstddef>
#include <cstdint>

#include "Core/time.h"
#include "Measure/config_publisher.h"
#include "Measure/fleet_simulation.h"

namespace hemlockwick {

// Changes published to a fleet one after the other.
struct ChangeRun {
  FleetShape shape;
  ConfigSize config;
  std::size_t changes = 20;
  Duration interval = std::chrono::seconds(10);  // Mean; exponential.
};

struct ChangeOutcome {
  // Longest time from a publication until that version or a higher one was in
  // force on every running instance.
  Duration slowest{0};
  double mean_bytes = 0;     // Sent per second, mean over instances.
  double highest_bytes = 0;  // Sent per second by the one that sent most.
  double reads = 0;          // Calls of the platform per second.
  std::size_t false_deaths = 0;
  std::size_t reverts = 0;
};

[[nodiscard]] auto MeasureChanges(const ChangeRun& run, std::uint64_t seed)
    -> ChangeOutcome;

// Longest time from a death until every other instance knew, over `deaths`
// deaths with a restart after each.
[[nodiscard]] auto MeasureDeaths(const FleetShape& shape, std::size_t deaths,
                                 std::uint64_t seed) -> Duration;

// Running instances that were declared dead within `time`, of which one at a
// time is paused for `pause`.
[[nodiscard]] auto MeasureFalseDeaths(const FleetShape& shape, Duration pause,
                                      Duration time, std::uint64_t seed)
    -> std::size_t;

struct ScheduleOutcome {
  std::size_t reverts = 0;
  // Schedules after whose end the highest version was not in force everywhere.
  std::size_t unsettled = 0;
  std::uint64_t first_failed_seed = 0;  // Zero when none failed.
};

// Runs random schedules with the seeds from `seed` on.
[[nodiscard]] auto MeasureSchedules(std::size_t schedules, std::uint64_t seed)
    -> ScheduleOutcome;

// Instances of today's size: seven in three data centres.
[[nodiscard]] auto TodaysShape(double loss) -> FleetShape;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_MEASURE_H_
