#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "AtMostOnce/key_world.h"
#include "Core/random.h"

namespace hemlockwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(200);
constexpr Duration kMaxViewAge = seconds(15);
constexpr int kKeyCount = 25;

// What happens to a fleet in one run, each with a chance in every step.
struct FleetFaults {
  double loss = 0;
  double copy = 0;
  double death = 0;
  double leave = 0;
  double pause = 0;
  double partition = 0;
};

// Seven instances in three data centres, replaced as they die or leave, whose
// views follow late, and callers that repeat their orders anywhere.
class KeyFleet {
 public:
  KeyFleet(const FleetFaults& faults, std::uint64_t seed)
      : faults_(faults), random_(seed), world_(Members(), PlantedFault()) {
    for (std::size_t node = 0; node < world_.size(); ++node) {
      serving_.insert(node);
    }
    for (const auto node : serving_) {
      world_.SetView(node, serving_);
    }
  }

  void Run(Duration time) {
    const auto end = world_.now() + time;
    while (world_.now() < end) {
      Step();
    }
    // Time for the last attempts to end.
    takes_arrivals_ = false;
    for (const auto last = world_.now() + seconds(5); world_.now() < last;) {
      Step();
    }
  }

  [[nodiscard]] auto orders() const -> std::size_t { return last_key_; }

  [[nodiscard]] auto world() const -> const KeyWorld& { return world_; }

  [[nodiscard]] auto Count(AttemptState state) const -> std::size_t {
    const auto& attempts = world_.attempts();
    return static_cast<std::size_t>(std::count_if(
        attempts.begin(), attempts.end(),
        [state](const WorldAttempt& one) { return one.state == state; }));
  }

 private:
  static auto MemberIn(std::size_t number, TimePoint started) -> WorldMember {
    const auto names = std::string("abcabca");
    return WorldMember{"instance-" + std::to_string(number),
                       std::string(1, names[number % names.size()]), started};
  }

  static auto Members() -> std::vector<WorldMember> {
    auto members = std::vector<WorldMember>();
    for (std::size_t number = 0; number < 7; ++number) {
      members.push_back(MemberIn(number, kWorldStart - std::chrono::hours(1)));
    }
    return members;
  }

  void Step() {
    world_.Advance(kStep);
    if (takes_arrivals_) {
      ArriveAny();
    }
    Network();
    EndAttempts();
    Faults();
    for (std::size_t node = 0; node < world_.size(); ++node) {
      world_.Tick(node);
    }
    UpdateViews();
  }

  auto AnyRunning() -> std::size_t {
    auto running = std::vector<std::size_t>();
    for (const auto node : serving_) {
      if (world_.IsRunning(node)) {
        running.push_back(node);
      }
    }
    return running.empty() ? 0 : running[random_.Below(running.size())];
  }

  // A new order now and then; an order is repeated for as long as its first
  // attempt is remembered.
  void ArriveAny() {
    const auto index = random_.Below(kKeyCount);
    auto& order = orders_[index];
    if (order.first + kWorldMemory - kRequestPatience <= world_.now()) {
      order.key = IdempotencyKey(++last_key_);
      order.first = world_.now();
    }
    const auto node = AnyRunning();
    if (world_.IsRunning(node)) {
      world_.Arrive(node, order.key);
    }
  }

  void Network() {
    // Rounds, so that claims and their verdicts pass within one step.
    for (auto round = 0; round < 4; ++round) {
      const auto packets = world_.network();
      for (const auto& packet : packets) {
        if (world_.is_paused(packet.to) || random_.Chance(0.1)) {
          continue;
        }
        if (IsCut(packet) || random_.Chance(faults_.loss)) {
          world_.Drop(packet);
        } else {
          world_.Deliver(packet, random_.Chance(faults_.copy));
        }
      }
    }
  }

  void EndAttempts() {
    for (std::size_t at = 0; at < world_.attempts().size(); ++at) {
      const auto& attempt = world_.attempts()[at];
      if (!world_.IsRunning(attempt.node) || random_.Chance(0.5)) {
        continue;
      }
      if (attempt.state == AttemptState::kMayRun) {
        world_.Send(at);
      } else if (attempt.state == AttemptState::kRan &&
                 settled_.insert(at).second) {
        world_.Settle(
            at, random_.Chance(0.8) ? KeyState::kAnswered : KeyState::kUnknown);
      }
    }
  }

  void Faults() {
    const auto node = AnyRunning();
    if (random_.Chance(faults_.death)) {
      world_.Kill(node);
      Replace(node);
    } else if (random_.Chance(faults_.leave)) {
      world_.Leave(node);
      Replace(node);
    } else if (random_.Chance(faults_.pause)) {
      world_.Pause(node);
      wakes_[node] = world_.now() + random_.Exponential(seconds(5));
    }
    std::erase_if(wakes_, [this](const auto& entry) {
      const auto is_due = entry.second <= world_.now();
      if (is_due) {
        world_.Wake(entry.first);
      }
      return is_due;
    });
    if (cut_until_ <= world_.now() && random_.Chance(faults_.partition)) {
      cut_ = random_.Below(3);
      cut_until_ = world_.now() + random_.Exponential(seconds(20));
    }
  }

  // Takes a member out and starts another one in its data centre.
  void Replace(std::size_t node) {
    serving_.erase(node);
    auto member = MemberIn(node, world_.now());
    member.name = "instance-" + std::to_string(world_.size());
    places_[world_.size()] = PlaceOf(node);
    const auto added = world_.AddNode(member);
    serving_.insert(added);
    world_.SetView(added, serving_);
    view_due_[added] = world_.now();
  }

  [[nodiscard]] auto PlaceOf(std::size_t node) const -> std::size_t {
    const auto found = places_.find(node);
    return (found == places_.end() ? node % 7 : found->second) % 3;
  }

  [[nodiscard]] auto IsCut(const KeyWorld::Packet& packet) const -> bool {
    return world_.now() < cut_until_ &&
           (PlaceOf(packet.from) == cut_) != (PlaceOf(packet.to) == cut_);
  }

  // Each instance learns of the others at its own time.
  void UpdateViews() {
    for (std::size_t node = 0; node < world_.size(); ++node) {
      if (!world_.IsRunning(node) || view_due_[node] > world_.now()) {
        continue;
      }
      auto view = serving_;
      view.insert(node);
      world_.SetView(node, view);
      view_due_[node] =
          world_.now() + Duration(static_cast<Duration::rep>(random_.Below(
                             static_cast<std::uint64_t>(kMaxViewAge.count()))));
    }
  }

  struct Order {
    IdempotencyKey key;
    TimePoint first;
  };

  FleetFaults faults_;
  Random random_;
  KeyWorld world_;
  std::set<std::size_t> serving_;
  std::map<std::size_t, std::size_t> places_;  // Data centres of added nodes.
  std::map<std::uint64_t, Order> orders_;
  std::uint64_t last_key_ = 0;
  bool takes_arrivals_ = true;
  std::set<std::size_t> settled_;
  std::map<std::size_t, TimePoint> wakes_;
  std::map<std::size_t, TimePoint> view_due_;
  std::size_t cut_ = 0;
  TimePoint cut_until_;
};

// Runs a fleet at several seeds; no order may run twice.
void ExpectAtMostOnce(const FleetFaults& faults) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    auto fleet = KeyFleet(faults, seed);
    fleet.Run(seconds(150));
    cr_log_info("seed %zu: %zu attempts, %zu ran, %zu not run, %zu unknown",
                static_cast<std::size_t>(seed), fleet.world().attempts().size(),
                fleet.Count(AttemptState::kRan),
                fleet.Count(AttemptState::kNotRun),
                fleet.Count(AttemptState::kUnknown));
    cr_assert(fleet.world().doubled() == 0, "seed %zu: %zu doubled",
              static_cast<std::size_t>(seed), fleet.world().doubled());
    cr_assert(fleet.world().false_not_run() == 0);
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

Test(key_fleet, lossy_network) { ExpectAtMostOnce({.loss = 0.1, .copy = 0.1}); }

Test(key_fleet, deaths_and_pauses) {
  ExpectAtMostOnce({.loss = 0.02, .copy = 0.02, .death = 0.01, .pause = 0.02});
}

Test(key_fleet, leaves_and_partitions) {
  ExpectAtMostOnce({.loss = 0.02, .leave = 0.02, .partition = 0.01});
}

Test(key_fleet, everything_at_once) {
  ExpectAtMostOnce({.loss = 0.05,
                    .copy = 0.05,
                    .death = 0.01,
                    .leave = 0.01,
                    .pause = 0.02,
                    .partition = 0.01});
}

// All instances are replaced, one every 10 s; each hands its keys over.
Test(key_fleet, a_rolling_restart_keeps_serving) {
  auto world = KeyWorld({}, PlantedFault());
  auto serving = std::set<std::size_t>();
  const auto share = [&world, &serving] {
    for (const auto node : serving) {
      world.SetView(node, serving);
    }
  };
  for (const auto* data_centre : {"a", "a", "b", "b", "c", "c"}) {
    serving.insert(world.AddNode(
        WorldMember{"old-" + std::to_string(serving.size()), data_centre,
                    kWorldStart - std::chrono::hours(1)}));
  }
  share();
  auto ran = 0;
  auto asked = 0;
  const auto deliver_all = [&world] {
    while (!world.network().empty()) {
      world.Deliver(*world.network().begin(), false);
    }
  };
  const auto order = [&](std::uint64_t key) {
    for (const auto node : serving) {
      const auto attempt = world.Arrive(node, IdempotencyKey(key));
      deliver_all();
      if (world.attempts()[attempt].state == AttemptState::kMayRun) {
        world.Send(attempt);
        world.Settle(attempt, KeyState::kAnswered);
        deliver_all();
        ++ran;
      }
    }
    ++asked;
  };
  const auto old_members = serving;
  for (const auto leaving : old_members) {
    const auto* const data_centre = leaving < 2 ? "a" : leaving < 4 ? "b" : "c";
    serving.insert(world.AddNode(WorldMember{"new-" + std::to_string(leaving),
                                             data_centre, world.now()}));
    share();
    order(100 + leaving);
    world.Leave(leaving);
    deliver_all();
    serving.erase(leaving);
    share();
    world.Kill(leaving);
    for (std::uint64_t key = 0; key < 10; ++key) {
      order(1000 * leaving + key + 1000);
    }
    // The keys from before the hand-over are known after it.
    order(100 + leaving);
    world.Advance(seconds(10));
    for (const auto node : serving) {
      world.Tick(node);
    }
    deliver_all();
  }
  cr_log_info("%d orders ran, %d asked", ran, asked);
  cr_assert(world.doubled() == 0);
  // Each order ran once; the last one of each round is a repeat.
  cr_assert(ran == asked - static_cast<int>(old_members.size()), "%d of %d",
            ran, asked);
}

}  // namespace
}  // namespace hemlockwick
