#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "AtMostOnce/key_simulation.h"
#include "Core/random.h"

namespace hemlockwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(200);
constexpr Duration kMaxViewAge = seconds(15);
constexpr int kKeyCount = 25;

// Probability of each fault in every step of a run.
struct FleetFaults {
  double loss = 0;
  double duplicate = 0;
  double death = 0;
  double leave = 0;
  double pause = 0;
  double partition = 0;
};

// Seven instances in three data centres, which are replaced when they die or
// leave and whose views are updated late, and callers that repeat their orders
// at any instance.
class KeyFleet {
 public:
  KeyFleet(const FleetFaults& faults, std::uint64_t seed)
      : faults_(faults),
        random_(seed),
        simulation_(Members(), InjectedFault()) {
    for (std::size_t node = 0; node < simulation_.size(); ++node) {
      serving_.insert(node);
    }
    for (const auto node : serving_) {
      simulation_.SetView(node, serving_);
    }
  }

  void Run(Duration time) {
    const auto end = simulation_.now() + time;
    while (simulation_.now() < end) {
      Step();
    }
    // Lets the last attempts end.
    accepts_arrivals_ = false;
    for (const auto last = simulation_.now() + seconds(5);
         simulation_.now() < last;) {
      Step();
    }
  }

  [[nodiscard]] auto orders() const -> std::size_t { return last_key_; }

  [[nodiscard]] auto simulation() const -> const KeySimulation& {
    return simulation_;
  }

  [[nodiscard]] auto Count(AttemptState state) const -> std::size_t {
    const auto& attempts = simulation_.attempts();
    return static_cast<std::size_t>(std::count_if(
        attempts.begin(), attempts.end(),
        [state](const SimulatedAttempt& one) { return one.state == state; }));
  }

 private:
  static auto MemberIn(std::size_t number, TimePoint started)
      -> SimulatedMember {
    const auto names = std::string("abcabca");
    return SimulatedMember{"instance-" + std::to_string(number),
                           std::string(1, names[number % names.size()]),
                           started};
  }

  static auto Members() -> std::vector<SimulatedMember> {
    auto members = std::vector<SimulatedMember>();
    for (std::size_t number = 0; number < 7; ++number) {
      members.push_back(
          MemberIn(number, kSimulationStart - std::chrono::hours(1)));
    }
    return members;
  }

  void Step() {
    simulation_.Advance(kStep);
    if (accepts_arrivals_) {
      ArriveAtRandom();
    }
    DeliverPackets();
    FinishAttempts();
    InjectFaults();
    for (std::size_t node = 0; node < simulation_.size(); ++node) {
      simulation_.Tick(node);
    }
    UpdateViews();
  }

  auto PickRunning() -> std::size_t {
    auto running = std::vector<std::size_t>();
    for (const auto node : serving_) {
      if (simulation_.IsRunning(node)) {
        running.push_back(node);
      }
    }
    return running.empty() ? 0 : running[random_.Below(running.size())];
  }

  // Submits an order at a random instance. An order is repeated for as long as
  // its first attempt is remembered; then a new one takes its place.
  void ArriveAtRandom() {
    const auto index = random_.Below(kKeyCount);
    auto& order = orders_[index];
    if (order.first + kSimulationMemory - kRequestTimeout <=
        simulation_.now()) {
      order.key = IdempotencyKey(++last_key_);
      order.first = simulation_.now();
    }
    const auto node = PickRunning();
    if (simulation_.IsRunning(node)) {
      simulation_.Arrive(node, order.key);
    }
  }

  void DeliverPackets() {
    // Several rounds, so that claims and their verdicts arrive within one step.
    for (auto round = 0; round < 4; ++round) {
      const auto packets = simulation_.network();
      for (const auto& packet : packets) {
        if (simulation_.is_paused(packet.to) || random_.Chance(0.1)) {
          continue;
        }
        if (CrossesPartition(packet) || random_.Chance(faults_.loss)) {
          simulation_.Drop(packet);
        } else {
          simulation_.Deliver(packet, random_.Chance(faults_.duplicate));
        }
      }
    }
  }

  void FinishAttempts() {
    for (std::size_t at = 0; at < simulation_.attempts().size(); ++at) {
      const auto& attempt = simulation_.attempts()[at];
      if (!simulation_.IsRunning(attempt.node) || random_.Chance(0.5)) {
        continue;
      }
      if (attempt.state == AttemptState::kMayRun) {
        simulation_.Send(at);
      } else if (attempt.state == AttemptState::kRan &&
                 settled_.insert(at).second) {
        simulation_.Settle(
            at, random_.Chance(0.8) ? KeyState::kAnswered : KeyState::kUnknown);
      }
    }
  }

  void InjectFaults() {
    const auto node = PickRunning();
    if (random_.Chance(faults_.death)) {
      simulation_.Kill(node);
      Replace(node);
    } else if (random_.Chance(faults_.leave)) {
      simulation_.Leave(node);
      Replace(node);
    } else if (random_.Chance(faults_.pause)) {
      simulation_.Pause(node);
      resume_at_[node] = simulation_.now() + random_.Exponential(seconds(5));
    }
    std::erase_if(resume_at_, [this](const auto& entry) {
      const auto is_due = entry.second <= simulation_.now();
      if (is_due) {
        simulation_.Wake(entry.first);
      }
      return is_due;
    });
    if (partitioned_until_ <= simulation_.now() &&
        random_.Chance(faults_.partition)) {
      partitioned_ = random_.Below(3);
      partitioned_until_ = simulation_.now() + random_.Exponential(seconds(20));
    }
  }

  // Removes a member and starts another one in its data centre.
  void Replace(std::size_t node) {
    serving_.erase(node);
    auto member = MemberIn(node, simulation_.now());
    member.name = "instance-" + std::to_string(simulation_.size());
    data_centres_[simulation_.size()] = DataCentreIndex(node);
    const auto added = simulation_.AddNode(member);
    serving_.insert(added);
    simulation_.SetView(added, serving_);
    next_view_update_[added] = simulation_.now();
  }

  [[nodiscard]] auto DataCentreIndex(std::size_t node) const -> std::size_t {
    const auto found = data_centres_.find(node);
    return (found == data_centres_.end() ? node % 7 : found->second) % 3;
  }

  [[nodiscard]] auto CrossesPartition(const KeySimulation::Packet& packet) const
      -> bool {
    return simulation_.now() < partitioned_until_ &&
           (DataCentreIndex(packet.from) == partitioned_) !=
               (DataCentreIndex(packet.to) == partitioned_);
  }

  // Updates the view of each instance at random times of its own.
  void UpdateViews() {
    for (std::size_t node = 0; node < simulation_.size(); ++node) {
      if (!simulation_.IsRunning(node) ||
          next_view_update_[node] > simulation_.now()) {
        continue;
      }
      auto view = serving_;
      view.insert(node);
      simulation_.SetView(node, view);
      next_view_update_[node] =
          simulation_.now() +
          Duration(static_cast<Duration::rep>(
              random_.Below(static_cast<std::uint64_t>(kMaxViewAge.count()))));
    }
  }

  struct Order {
    IdempotencyKey key;
    TimePoint first;
  };

  FleetFaults faults_;
  Random random_;
  KeySimulation simulation_;
  std::set<std::size_t> serving_;
  // Indices of the data centres of added nodes.
  std::map<std::size_t, std::size_t> data_centres_;
  std::map<std::uint64_t, Order> orders_;
  std::uint64_t last_key_ = 0;
  bool accepts_arrivals_ = true;
  std::set<std::size_t> settled_;
  std::map<std::size_t, TimePoint> resume_at_;
  std::map<std::size_t, TimePoint> next_view_update_;
  std::size_t partitioned_ = 0;
  TimePoint partitioned_until_;
};

// Runs a fleet with several seeds. No order may run twice.
void ExpectAtMostOnce(const FleetFaults& faults) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    auto fleet = KeyFleet(faults, seed);
    fleet.Run(seconds(150));
    cr_log_info(
        "seed %zu: %zu attempts, %zu ran, %zu not run, %zu unknown",
        static_cast<std::size_t>(seed), fleet.simulation().attempts().size(),
        fleet.Count(AttemptState::kRan), fleet.Count(AttemptState::kNotRun),
        fleet.Count(AttemptState::kUnknown));
    cr_assert(fleet.simulation().doubled() == 0, "seed %zu: %zu doubled",
              static_cast<std::size_t>(seed), fleet.simulation().doubled());
    cr_assert(fleet.simulation().false_not_run() == 0);
    cr_assert(fleet.Count(AttemptState::kRan) > 0);
  }
}

Test(key_fleet, without_faults_every_order_runs_once) {
  ExpectAtMostOnce({});
  auto fleet = KeyFleet({}, 6);
  fleet.Run(seconds(150));
  cr_assert(fleet.Count(AttemptState::kRan) == fleet.orders(), "%zu of %zu",
            fleet.Count(AttemptState::kRan), fleet.orders());
}

Test(key_fleet, lossy_network) {
  ExpectAtMostOnce({.loss = 0.1, .duplicate = 0.1});
}

Test(key_fleet, deaths_and_pauses) {
  ExpectAtMostOnce(
      {.loss = 0.02, .duplicate = 0.02, .death = 0.01, .pause = 0.02});
}

Test(key_fleet, leaves_and_partitions) {
  ExpectAtMostOnce({.loss = 0.02, .leave = 0.02, .partition = 0.01});
}

Test(key_fleet, everything_at_once) {
  ExpectAtMostOnce({.loss = 0.05,
                    .duplicate = 0.05,
                    .death = 0.01,
                    .leave = 0.01,
                    .pause = 0.02,
                    .partition = 0.01});
}

// Guards against keys that are lost or refused in a rolling restart. All
// instances are replaced, one every 10 s, and each hands its keys over.
Test(key_fleet, a_rolling_restart_keeps_serving) {
  auto simulation = KeySimulation({}, InjectedFault());
  auto serving = std::set<std::size_t>();
  const auto publish_view = [&simulation, &serving] {
    for (const auto node : serving) {
      simulation.SetView(node, serving);
    }
  };
  for (const auto* data_centre : {"a", "a", "b", "b", "c", "c"}) {
    serving.insert(simulation.AddNode(
        SimulatedMember{"old-" + std::to_string(serving.size()), data_centre,
                        kSimulationStart - std::chrono::hours(1)}));
  }
  publish_view();
  auto ran = 0;
  auto submitted = 0;
  const auto deliver_all = [&simulation] {
    while (!simulation.network().empty()) {
      simulation.Deliver(*simulation.network().begin(), false);
    }
  };
  const auto order = [&](std::uint64_t key) {
    for (const auto node : serving) {
      const auto attempt = simulation.Arrive(node, IdempotencyKey(key));
      deliver_all();
      if (simulation.attempts()[attempt].state == AttemptState::kMayRun) {
        simulation.Send(attempt);
        simulation.Settle(attempt, KeyState::kAnswered);
        deliver_all();
        ++ran;
      }
    }
    ++submitted;
  };
  const auto old_members = serving;
  for (const auto leaving : old_members) {
    const auto* const data_centre = leaving < 2 ? "a" : leaving < 4 ? "b" : "c";
    serving.insert(simulation.AddNode(SimulatedMember{
        "new-" + std::to_string(leaving), data_centre, simulation.now()}));
    publish_view();
    order(100 + leaving);
    simulation.Leave(leaving);
    deliver_all();
    serving.erase(leaving);
    publish_view();
    simulation.Kill(leaving);
    for (std::uint64_t key = 0; key < 10; ++key) {
      order(1000 * leaving + key + 1000);
    }
    // A key from before the hand-over is still known after it.
    order(100 + leaving);
    simulation.Advance(seconds(10));
    for (const auto node : serving) {
      simulation.Tick(node);
    }
    deliver_all();
  }
  cr_log_info("%d orders ran, %d asked", ran, submitted);
  cr_assert(simulation.doubled() == 0);
  // Each order ran once; the last one of each round is a repeat.
  cr_assert(ran == submitted - static_cast<int>(old_members.size()), "%d of %d",
            ran, submitted);
}

}  // namespace
}  // namespace hemlockwick
