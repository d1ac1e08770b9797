// Case 1: many users come at once, and the backends are full for a few seconds.
// A full backend does not answer opening packets. The system takes it for dead
// and resets flows that are open at it.

#include <cstddef>
#include <random>

#include "harness/world.h"

namespace {

using review::Seconds;

// Limits of the site: burst with x 1.75 and for_s 3.
constexpr double kBurst = 1.75;
constexpr Seconds kBurstTime = 3.0;

// A fiftieth of the site's 2000 connections, so that few clients fill them.
constexpr std::size_t kMaxConnections = 40;
constexpr std::size_t kBackendsOfZone = 3;
constexpr std::size_t kHostsOfZone = 30;
constexpr std::size_t kUsersOfHost = 3;

constexpr Seconds kStartTime = 4.0;  // Within which the usual users come.
constexpr Seconds kBurstAt = 8.0;
constexpr Seconds kLength = 45.0;

class Case {
 public:
  explicit Case(review::World& world) : world_(world) {}

  auto Run() -> int {
    world_.AddMachines({0, 3, 5});
    world_.set_max_connections(kMaxConnections);
    world_.AddBackends(kBackendsOfZone);
    world_.AddClients(kHostsOfZone);
    world_.Publish({world_.RouteAddress(0)}, "safe");
    world_.Start();
    auto& loop = world_.loop();
    const auto start = loop.Now();
    const auto users = world_.clients() * kUsersOfHost;
    for (auto user = std::size_t{0}; user < users; ++user) {
      loop.After(Below(kStartTime), [this, user] { Use(user); });
    }
    if (world_.trouble()) {
      loop.After(kBurstAt, [this, users] { Burst(users); });
    }
    loop.RunUntil(start + kLength);
    return world_.Finish();
  }

 private:
  [[nodiscard]] auto Below(Seconds time) -> Seconds {
    return std::uniform_real_distribution<double>(0, time)(world_.random());
  }

  [[nodiscard]] auto PlanOf(Seconds until) const -> review::FlowPlan {
    auto plan = review::FlowPlan();
    plan.route = world_.RouteAddress(0);
    plan.name = "watch";
    plan.requests = 1'000'000;
    plan.pause = 3.0;
    plan.deadline = 1.2;
    plan.until = until;
    return plan;
  }

  // A user of the usual traffic, who holds a flow for 40 s (flowLifetimeS is
  // 60) and opens another one when it has ended.
  void Use(std::size_t user) {
    constexpr auto kFlowLife = 40.0;
    const auto until = world_.loop().Now() + kFlowLife;
    world_.Open(
        user % world_.clients(), PlanOf(until), [this, user](review::FlowEnd) {
          world_.loop().After(0.5 + Below(1.0), [this, user] { Use(user); });
        });
  }

  // More users open flows and leave when the burst is over.
  void Burst(std::size_t users) {
    const auto more =
        static_cast<std::size_t>((kBurst - 1) * static_cast<double>(users));
    world_.Note("many users come at once: " + std::to_string(more) + " more");
    const auto end = world_.loop().Now() + kBurstTime;
    for (auto user = std::size_t{0}; user < more; ++user) {
      world_.loop().After(Below(1.0),
                          [this, user, end] { Come(user, end, 0); });
    }
  }

  // Clients retry twice.
  void Come(std::size_t user, Seconds end, int tries) {
    constexpr auto kMaxRetries = 2;
    world_.Open(user % world_.clients(), PlanOf(end),
                [this, user, end, tries](review::FlowEnd why) {
                  if (why != review::FlowEnd::kDone && tries < kMaxRetries &&
                      world_.loop().Now() < end) {
                    Come(user, end, tries + 1);
                  }
                });
  }

  review::World& world_;
};

}  // namespace

auto main() -> int {
  auto world = review::World(review::SettingsFromEnvironment());
  return Case(world).Run();
}
