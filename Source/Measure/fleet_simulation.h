#ifndef HEMLOCKWICK_MEASURE_FLEET_SIMULATION_H_
#define HEMLOCKWICK_MEASURE_FLEET_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Fleet/fleet_node.h"
#include "Fleet/instance_list.h"
#include "Measure/fake_platform.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Instances per data centre, and how messages between them fare.
struct FleetShape {
  std::vector<std::size_t> instances;  // One entry per data centre.
  double loss = 0;                     // Share of messages that are lost.
};

// The real FleetNode code of many instances in one process under a virtual
// clock, with a fake platform and lossy delivery.
class FleetSimulation {
 public:
  FleetSimulation(const FleetShape& shape, std::uint64_t seed);

  void RunUntil(TimePoint end);
  void RunFor(Duration time) { RunUntil(now_ + time); }
  [[nodiscard]] auto now() const -> TimePoint { return now_; }

  auto platform() -> FakePlatform& { return platform_; }

  // Writes a configuration to the platform and wakes the watches.
  void Publish(const std::vector<PublishedValue>& values);

  // Ends a process without notice.
  void Kill(std::size_t instance);
  // Starts a process of the same name with nothing kept.
  void Start(std::size_t instance);
  // Announces a planned stop.
  void Leave(std::size_t instance);
  // Stops a process from doing anything; what reaches it waits.
  void Pause(std::size_t instance, Duration time);
  void SetLoss(double loss) { loss_ = loss; }

  // Cuts two data centres off from each other, or joins them again.
  void Cut(std::size_t left, std::size_t right);
  void Join(std::size_t left, std::size_t right);
  // Cuts a data centre off from the platform, or joins it again.
  void CutPlatform(std::size_t data_centre);
  void JoinPlatform(std::size_t data_centre);
  void JoinAll();

  [[nodiscard]] auto size() const -> std::size_t { return instances_.size(); }
  [[nodiscard]] auto IsRunning(std::size_t instance) const -> bool {
    return instances_[instance].node != nullptr;
  }
  [[nodiscard]] auto DataCentreOf(std::size_t instance) const -> std::size_t {
    return instances_[instance].data_centre;
  }
  [[nodiscard]] auto NameOf(std::size_t instance) const -> const std::string& {
    return instances_[instance].settings.name;
  }
  [[nodiscard]] auto node(std::size_t instance) const -> const FleetNode& {
    return *instances_[instance].node;
  }
  [[nodiscard]] auto events(std::size_t instance) const -> const EventLog& {
    return *instances_[instance].events;
  }

  // The version that the instance has in force.
  [[nodiscard]] auto InForce(std::size_t instance) const -> Version {
    return instances_[instance].in_force;
  }
  // The lowest version in force on a running instance.
  [[nodiscard]] auto LowestInForce() const -> Version;
  // Versions refused by any instance so far.
  [[nodiscard]] auto refusals() const -> std::size_t { return refusals_; }
  // Times that a process went back to a lower version, or that a starting one
  // put a lower version in force than all the peers that it could reach.
  [[nodiscard]] auto reverts() const -> std::size_t { return reverts_; }
  // Times that a running instance was declared dead by another one that could
  // reach it.
  [[nodiscard]] auto false_deaths() const -> std::size_t {
    return false_deaths_;
  }
  // Control traffic sent by each instance's present process.
  [[nodiscard]] auto SentBytes() const -> std::vector<std::uint64_t>;

  // Whether every running instance that can reach `instance` no longer counts
  // on it: it is dead in its view, or its data centre is unreachable.
  [[nodiscard]] auto IsDeathKnown(std::size_t instance) const -> bool;

 private:
  struct Instance {
    FleetSettings settings;
    std::size_t data_centre = 0;
    std::unique_ptr<EventLog> events;
    std::unique_ptr<FleetNode> node;
    std::uint64_t generation = 0;  // Number of the process.
    TimePoint started;
    TimePoint paused_until;
    TimePoint next_tick;
    Version in_force;
    Version peers_at_start;  // Lowest version of the peers in reach then.
    HlcStamp checked;        // Events up to here were looked at.
  };
  struct Task {
    TimePoint at;
    std::uint64_t order = 0;
    std::size_t instance = 0;
    std::uint64_t generation = 0;
    std::function<FleetActions(FleetNode&, TimePoint)> run;
  };
  struct Later {
    auto operator()(const Task& left, const Task& right) const -> bool {
      return std::pair(left.at, left.order) > std::pair(right.at, right.order);
    }
  };
  struct Watch {
    std::uint64_t number = 0;
    std::size_t instance = 0;
    std::uint64_t generation = 0;
    PlatformRead read;
  };

  void Schedule(std::size_t instance, TimePoint at,
                std::function<FleetActions(FleetNode&, TimePoint)> run);
  void ScheduleTick(std::size_t instance);
  void RunTask(Task task);
  void Perform(std::size_t instance, const FleetActions& actions);
  void Deliver(std::size_t from, const SendFleetMessage& send);
  void Read(std::size_t instance, const PlatformRead& read);
  void AnswerNow(std::size_t instance, const PlatformRead& read);
  void WakeWatches();
  void RecordInForce(std::size_t instance, Version version);
  void CheckDeaths(std::size_t instance);
  void WriteInstanceList();
  [[nodiscard]] auto CanReach(std::size_t from, std::size_t to) const -> bool;
  [[nodiscard]] auto CanReachPlatform(std::size_t instance) const -> bool;
  auto Latency(std::size_t from, std::size_t to) -> Duration;

  Random random_;
  double loss_;
  TimePoint now_;
  std::uint64_t next_order_ = 0;
  std::vector<Instance> instances_;
  std::unordered_map<SocketAddress, std::size_t> by_address_;
  std::unordered_map<std::string, std::size_t> by_name_;
  FakePlatform platform_;
  std::priority_queue<Task, std::vector<Task>, Later> tasks_;
  std::vector<Watch> watches_;
  std::uint64_t next_watch_ = 0;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::set<std::size_t> platform_cuts_;
  std::size_t refusals_ = 0;
  std::size_t reverts_ = 0;
  std::size_t false_deaths_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_SIMULATION_H_
