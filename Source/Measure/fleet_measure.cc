#include "Measure/fleet_measure.h"

#include <algorithm>
#include <vector>

#include "Measure/fleet_schedule.h"

namespace hemlockwick {

namespace {

// Time for a fleet to start before anything is measured.
constexpr Duration kWarmUp = std::chrono::seconds(8);

// Step in which outcomes are looked at, and longest time to wait for one.
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kPatience = std::chrono::seconds(20);

// Time between a restart and the next death.
constexpr Duration kRestartTime = std::chrono::seconds(7);

constexpr Duration kPauseInterval = std::chrono::seconds(3);

// Length of a random schedule, and of the quiet time after it in which the
// highest version has to come into force.
constexpr Duration kScheduleTime = std::chrono::seconds(30);
constexpr Duration kSettleTime = std::chrono::seconds(20);
constexpr double kScheduleLoss = 0.1;

// Runs until the condition holds and returns how long that took.
template <typename Condition>
auto TimeUntil(FleetSimulation& fleet, const Condition& condition) -> Duration {
  const auto start = fleet.now();
  while (!condition() && fleet.now() - start < kPatience) {
    fleet.RunFor(kStep);
  }
  return fleet.now() - start;
}

void RecordTraffic(const FleetSimulation& fleet,
                   const std::vector<std::uint64_t>& before, Duration time,
                   ChangeOutcome& outcome) {
  const auto after = fleet.SentBytes();
  for (std::size_t at = 0; at < after.size(); ++at) {
    const auto rate =
        static_cast<double>(after[at] - before[at]) / ToSeconds(time);
    outcome.mean_bytes += rate / static_cast<double>(after.size());
    outcome.highest_bytes = std::max(outcome.highest_bytes, rate);
  }
}

}  // namespace

auto TodaysShape(double loss) -> FleetShape {
  return FleetShape{{3, 2, 2}, loss};
}

auto MeasureChanges(const ChangeRun& run, std::uint64_t seed) -> ChangeOutcome {
  auto fleet = FleetSimulation(run.shape, seed);
  auto publisher = ConfigPublisher(run.config, seed);
  auto random = Random(seed);
  fleet.Publish(publisher.NextVersion(fleet.now()));
  fleet.RunFor(kWarmUp);
  const auto bytes = fleet.SentBytes();
  const auto calls = fleet.platform().calls();
  const auto start = fleet.now();
  auto outcome = ChangeOutcome();
  auto next = start;
  for (std::size_t change = 0; change < run.changes; ++change) {
    next += random.Exponential(run.interval);
    fleet.RunUntil(std::max(next, fleet.now()));
    fleet.Publish(publisher.NextVersion(fleet.now()));
    const auto time = TimeUntil(
        fleet, [&] { return fleet.LowestInForce() >= publisher.version(); });
    outcome.slowest = std::max(outcome.slowest, time);
  }
  const auto time = fleet.now() - start;
  RecordTraffic(fleet, bytes, time, outcome);
  outcome.reads =
      static_cast<double>(fleet.platform().calls() - calls) / ToSeconds(time);
  outcome.false_deaths = fleet.false_deaths();
  outcome.reverts = fleet.reverts();
  return outcome;
}

auto MeasureDeaths(const FleetShape& shape, std::size_t deaths,
                   std::uint64_t seed) -> Duration {
  auto fleet = FleetSimulation(shape, seed);
  auto random = Random(seed);
  auto slowest = Duration(0);
  fleet.RunFor(kWarmUp);
  for (std::size_t death = 0; death < deaths; ++death) {
    fleet.RunFor(random.Exponential(std::chrono::seconds(1)));
    const auto victim = random.Below(fleet.size());
    fleet.Kill(victim);
    slowest = std::max(
        slowest, TimeUntil(fleet, [&] { return fleet.IsDeathKnown(victim); }));
    fleet.Start(victim);
    fleet.RunFor(kRestartTime);
  }
  return slowest;
}

auto MeasureFalseDeaths(const FleetShape& shape, Duration pause, Duration time,
                        std::uint64_t seed) -> std::size_t {
  auto fleet = FleetSimulation(shape, seed);
  auto random = Random(seed);
  fleet.RunFor(kWarmUp);
  const auto end = fleet.now() + time;
  while (fleet.now() < end) {
    if (pause > Duration(0)) {
      fleet.Pause(random.Below(fleet.size()), pause);
    }
    fleet.RunFor(kPauseInterval);
  }
  return fleet.false_deaths();
}

auto MeasureSchedules(std::size_t schedules, std::uint64_t seed)
    -> ScheduleOutcome {
  auto outcome = ScheduleOutcome();
  for (std::size_t at = 0; at < schedules; ++at) {
    const auto shape = TodaysShape(kScheduleLoss);
    auto fleet = FleetSimulation(shape, seed + at);
    auto publisher = ConfigPublisher(ConfigSize(), seed + at);
    fleet.Publish(publisher.NextVersion(fleet.now()));
    RunFleetSchedule(RandomFleetSchedule(fleet, shape.instances.size(),
                                         kScheduleTime, seed + at),
                     publisher, fleet);
    fleet.JoinAll();
    fleet.platform().SetMode(PlatformMode::kCurrent);
    fleet.Publish(publisher.NextVersion(fleet.now()));
    fleet.RunFor(kSettleTime);
    const auto is_settled = fleet.LowestInForce() >= publisher.version();
    outcome.reverts += fleet.reverts();
    outcome.unsettled += is_settled ? 0 : 1;
    if ((!is_settled || fleet.reverts() > 0) &&
        outcome.first_failed_seed == 0) {
      outcome.first_failed_seed = seed + at;
    }
  }
  return outcome;
}

}  // namespace hemlockwick
