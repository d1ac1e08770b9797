// Case 2: one machine is cut off from the store while a configuration adds a
// route and another machine is restarted as planned. Flows that are open on the
// new route move to a machine that still waits for news from the one that is
// cut off. It does not know the route yet and resets them.

#include <cstddef>
#include <vector>

#include "harness/world.h"

namespace {

using review::Seconds;

// Limits of the site: core_cut with count 1 and for_s 5.5.
constexpr Seconds kCut = 5.5;

constexpr std::size_t kUsers = 20;  // Client addresses of each zone.
constexpr std::size_t kRounds = 4;
constexpr Seconds kRoundLength = 16.0;
// When the machine is told to stop, before the cut, and when the configuration
// is acknowledged, after it.
constexpr Seconds kStopBefore = 0.5;
constexpr Seconds kPublishAfter = 0.1;

// Two seeds are in the zone nelson-a. Each takes its turn to be cut off while
// the other one is restarted.
constexpr std::size_t kFirstSeed = 0;
constexpr std::size_t kSecondSeed = 1;
constexpr std::size_t kThirdSeed = 3;

class Case {
 public:
  explicit Case(review::World& world) : world_(world) {}

  auto Run() -> int {
    world_.AddMachines({kFirstSeed, kSecondSeed, kThirdSeed});
    world_.AddBackends(3);
    world_.AddClients(kUsers);
    AddRoute();
    world_.Start();
    for (auto user = std::size_t{0}; user < world_.clients(); ++user) {
      Use(user);
    }
    const auto start = world_.loop().Now();
    for (auto round = std::size_t{0}; round < kRounds; ++round) {
      const auto is_even = round % 2 == 0;
      PlanRound(1 + kRoundLength * static_cast<double>(round),
                is_even ? kFirstSeed : kSecondSeed,
                is_even ? kSecondSeed : kFirstSeed);
    }
    world_.loop().RunUntil(start + kRoundLength * kRounds);
    return world_.Finish();
  }

 private:
  void PlanRound(Seconds at, std::size_t cut, std::size_t stopped) {
    auto& loop = world_.loop();
    loop.After(at, [this, stopped] { world_.StopMachine(stopped); });
    if (world_.trouble()) {
      loop.After(at + kStopBefore,
                 [this, cut] { world_.CutFromStore(cut, kCut); });
    }
    loop.After(at + kStopBefore + kPublishAfter, [this] { AddRoute(); });
  }

  void AddRoute() {
    routes_.push_back(world_.RouteAddress(routes_.size()));
    world_.Publish(routes_, "unsafe");
  }

  // Uses the newest route, a flow after the other.
  void Use(std::size_t user) {
    auto plan = review::FlowPlan();
    plan.route = routes_.back();
    plan.name = "order";
    plan.requests = 8;
    plan.pause = 0.15;
    plan.deadline = 1.5;
    world_.Open(user, plan, [this, user](review::FlowEnd) {
      world_.loop().After(0.1, [this, user] { Use(user); });
    });
  }

  review::World& world_;
  std::vector<review::Address> routes_;
};

}  // namespace

auto main() -> int {
  auto world = review::World(review::SettingsFromEnvironment());
  return Case(world).Run();
}
