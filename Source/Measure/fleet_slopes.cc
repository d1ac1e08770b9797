#include "Measure/fleet_slopes.h"

#include <ctime>
#include <string>

#include "Measure/config_publisher.h"
#include "Measure/fleet_measure.h"
#include "Measure/fleet_simulation.h"

namespace hemlockwick {

namespace {

constexpr Duration kWarmUp = std::chrono::seconds(8);
constexpr Duration kQuietTime = std::chrono::seconds(16);
constexpr std::size_t kEndpointsPerService = 9;
constexpr double kChanges = 8;

// Processor time of this thread so far, in seconds.
auto ThreadSeconds() -> double {
  auto time = timespec{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

auto Total(const std::vector<std::uint64_t>& values) -> double {
  auto total = 0.0;
  for (const auto value : values) {
    total += static_cast<double>(value);
  }
  return total;
}

struct QuietCost {
  double bytes = 0;    // Sent by an instance in a second.
  double seconds = 0;  // Processor time of an instance in a second.
};

// Membership alone: no changes and no faults.
auto MeasureQuiet(std::size_t instances, std::uint64_t seed) -> QuietCost {
  auto fleet = FleetSimulation(FleetShape{{instances}, 0}, seed);
  fleet.RunFor(kWarmUp);
  const auto bytes = Total(fleet.SentBytes());
  const auto start = ThreadSeconds();
  fleet.RunFor(kQuietTime);
  const auto time = std::chrono::duration<double>(kQuietTime).count();
  const auto scale = time * static_cast<double>(instances);
  return QuietCost{(Total(fleet.SentBytes()) - bytes) / scale,
                   (ThreadSeconds() - start) / scale};
}

struct ChangeCost {
  double bytes = 0;    // Sent by an instance for one change.
  double seconds = 0;  // Processor time of an instance for one change.
};

// Changes of a configuration of `services` services at seven instances, less
// what membership costs in the same time.
auto MeasureChange(std::size_t services, std::uint64_t seed) -> ChangeCost {
  const auto instances = TodaysShape(0);
  auto fleet = FleetSimulation(instances, seed);
  auto publisher =
      ConfigPublisher(ConfigSize{3, services, kEndpointsPerService}, seed);
  fleet.Publish(publisher.NextVersion(fleet.now()));
  fleet.RunFor(kWarmUp);
  const auto members = static_cast<double>(fleet.size());
  const auto quiet = MeasureQuiet(fleet.size(), seed);
  const auto bytes = Total(fleet.SentBytes());
  auto spent = 0.0;
  for (auto change = 0.0; change < kChanges; ++change) {
    fleet.Publish(publisher.NextVersion(fleet.now()));
    const auto start = ThreadSeconds();
    fleet.RunFor(std::chrono::seconds(2));
    spent += ThreadSeconds() - start;
  }
  const auto quiet_seconds = 2 * kChanges;
  return ChangeCost{
      (Total(fleet.SentBytes()) - bytes) / members / kChanges -
          quiet.bytes * quiet_seconds / kChanges,
      spent / members / kChanges - quiet.seconds * quiet_seconds / kChanges};
}

auto MembershipSlopes(std::uint64_t seed) -> std::vector<Slope> {
  auto bytes =
      Slope{"fleet.membership_bytes", "instance in the data centre", "B", {}};
  auto seconds =
      Slope{"fleet.membership_time", "instance in the data centre", "s", {}};
  for (const std::size_t instances : {50, 150, 300, 500}) {
    const auto cost = MeasureQuiet(instances, seed);
    const auto size = static_cast<double>(instances);
    bytes.samples.push_back(SlopeSample{size, cost.bytes});
    seconds.samples.push_back(SlopeSample{size, cost.seconds});
  }
  return {bytes, seconds};
}

auto ChangeSlopes(std::uint64_t seed) -> std::vector<Slope> {
  auto bytes = Slope{"fleet.change_bytes", "service", "B", {}};
  auto seconds = Slope{"fleet.change_time", "service", "s", {}};
  for (const std::size_t services : {100, 200, 400, 800}) {
    const auto cost = MeasureChange(services, seed);
    const auto size = static_cast<double>(services);
    bytes.samples.push_back(SlopeSample{size, cost.bytes});
    seconds.samples.push_back(SlopeSample{size, cost.seconds});
  }
  return {bytes, seconds};
}

// Calls of the platform by a whole fleet of data centres of 50 instances.
auto ReadSlope(std::uint64_t seed) -> Slope {
  constexpr std::size_t kInstances = 50;
  auto reads = Slope{"fleet.platform_reads", "data centre", "1/s", {}};
  for (const std::size_t data_centres : {1, 2, 4}) {
    const auto shape =
        FleetShape{std::vector<std::size_t>(data_centres, kInstances), 0};
    const auto run = ChangeRun{shape, {}, 10, std::chrono::milliseconds(1700)};
    reads.samples.push_back(SlopeSample{static_cast<double>(data_centres),
                                        MeasureChanges(run, seed).reads});
  }
  return reads;
}

}  // namespace

auto FleetSlopes(std::uint64_t seed) -> std::vector<Slope> {
  auto slopes = MembershipSlopes(seed);
  for (auto& slope : ChangeSlopes(seed)) {
    slopes.push_back(std::move(slope));
  }
  slopes.push_back(ReadSlope(seed));
  return slopes;
}

}  // namespace hemlockwick
