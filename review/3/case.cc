// Case 3: a few backends turn slow. Two flows of one client from neighbouring
// ports have the same key in the system, which takes the wait of the one for a
// silence of the other one's backend, and resets a flow of a sound backend.

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Core/hash.h"
#include "harness/world.h"

namespace {

using review::Seconds;

// Limits of the pages: srv_slow with share 0.16, x 5 and for_s 6.5.
constexpr double kSlowness = 5.0;
constexpr Seconds kSlowTime = 6.5;
constexpr double kSlowShare = 0.16;

constexpr std::size_t kBackendsOfZone = 8;
constexpr std::size_t kHostsOfZone = 8;
constexpr Seconds kFlowLife = 40.0;  // flowLifetimeS is 60.
constexpr std::size_t kGenerations = 2;
constexpr std::uint16_t kFirstPort = 1024;

auto WordOf(const review::Address& address) -> std::uint64_t {
  return (std::uint64_t{address.ip} << 16) | address.port;
}

class Case {
 public:
  explicit Case(review::World& world) : world_(world) {}

  auto Run() -> int {
    world_.AddMachines({0, 3, 5});
    world_.AddBackends(kBackendsOfZone);
    world_.AddClients(kHostsOfZone);
    ChooseRoute();
    world_.Publish({route_}, "safe");
    world_.Start();
    auto& loop = world_.loop();
    const auto start = loop.Now();
    for (auto generation = std::size_t{0}; generation < kGenerations;
         ++generation) {
      const auto at = kFlowLife * static_cast<double>(generation);
      loop.After(at, [this] { OpenFlows(); });
    }
    if (world_.trouble()) {
      loop.After(3, [this] { SlowNext(); });
    }
    loop.RunUntil(start + kFlowLife * kGenerations);
    return world_.Finish();
  }

 private:
  // Each host opens two flows from neighbouring ports.
  void OpenFlows() {
    ports_.resize(world_.clients(), kFirstPort);
    for (auto host = std::size_t{0}; host < world_.clients(); ++host) {
      const auto port = NextPair(host, ports_[host]);
      ports_[host] = static_cast<std::uint16_t>(port + 2);
      world_.host(host).set_next_port(port);
      Open(host, "busy", 0.1);
      Open(host, "watch", 0.4);
    }
  }

  void Open(std::size_t host, const char* name, Seconds pause) {
    auto plan = review::FlowPlan();
    plan.route = route_;
    plan.name = name;
    plan.requests = 1'000'000;
    plan.pause = pause;
    plan.deadline = 1.2;
    plan.until = world_.loop().Now() + kFlowLife - 2;
    world_.Open(host, plan, [](review::FlowEnd) {});
  }

  // An address of a route at which neighbouring ports of a client may have one
  // key: one address in 16. The address 198.18.0.1:8443 of the pages' examples
  // is such a one for all clients of 100.64.0.0/10.
  void ChooseRoute() {
    constexpr auto kMaxRoutes = std::size_t{1000};
    for (auto number = std::size_t{0}; number < kMaxRoutes; ++number) {
      route_ = world_.RouteAddress(number);
      if (NextPair(0, kFirstPort) != 0) {
        return;
      }
    }
    review::CannotRun("no address with two neighbouring ports of one key");
  }

  // The next two neighbouring ports of the host whose flows have one key, one
  // pair in 512; 0 when there is none.
  [[nodiscard]] auto NextPair(std::size_t host, std::uint16_t first) const
      -> std::uint16_t {
    constexpr auto kLastPort = std::uint16_t{10'000};
    const auto ip = world_.ip_of_client(host);
    const auto key = [&](std::uint16_t port) {
      return hemlockwick::MixWords(WordOf({ip, port}), WordOf(route_));
    };
    for (auto port = first; port < kLastPort; ++port) {
      if (key(port) == key(static_cast<std::uint16_t>(port + 1))) {
        return port;
      }
    }
    return 0;
  }

  // The backends turn slow one group after the other.
  void SlowNext() {
    const auto count = static_cast<std::size_t>(
        kSlowShare * static_cast<double>(world_.backends()));
    for (auto index = std::size_t{0}; index < count; ++index) {
      world_.SlowBackend(next_slow_, kSlowness, kSlowTime);
      next_slow_ = (next_slow_ + 7) % world_.backends();
    }
    world_.loop().After(kSlowTime, [this] { SlowNext(); });
  }

  review::World& world_;
  review::Address route_;
  std::vector<std::uint16_t> ports_;
  std::size_t next_slow_ = 0;
};

}  // namespace

auto main() -> int {
  auto world = review::World(review::SettingsFromEnvironment());
  return Case(world).Run();
}
