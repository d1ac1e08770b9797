// Plays one case of the review on loopback addresses. Exit code: 1 when the
// rule was broken, 0 when it held, 2 when the case could not run.
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <sstream>

#include "backend.h"
#include "client.h"
#include "fleet.h"

namespace review {

namespace {

// The bounds of a small deployment.
constexpr std::int64_t kStabilityWindow = 4000;
constexpr std::int64_t kGrace = 6000;

constexpr std::int64_t kLongest = 110'000;

constexpr std::uint32_t kClients =
    30;  // Addresses from which flows are opened.

auto Hex(std::uint64_t number, int digits) -> std::string {
  char text[20];
  std::snprintf(text, sizeof(text), "%0*llx", digits,
                static_cast<unsigned long long>(number));
  return text;
}

class World {
 public:
  World(const std::string& record, bool trouble)
      : trouble_(trouble), record_(record, loop_) {
    // Addresses of this play alone, and ports that were free a moment ago.
    const auto number = static_cast<std::uint32_t>(getpid());
    net_ = 127U << 24 | (64 + number % 128) << 16 | (number / 128 % 64) << 10;
    const auto base = static_cast<std::uint16_t>(20'000 + number % 1'000 * 10);
    ports_ = {base, static_cast<std::uint16_t>(base + 1),
              static_cast<std::uint16_t>(base + 2),
              static_cast<std::uint16_t>(base + 3)};
    char pattern[] = "/tmp/review-3-XXXXXX";
    folder_ = mkdtemp(pattern);
    store_ = std::make_unique<Store>(loop_, Address{net_ + 1, ports_.store});
    fleet_ = std::make_unique<Fleet>(loop_, record_, folder_, ports_);
    route_ = {net_ + 250, 8443};
    links_.loop = &loop_;
    links_.record = &record_;
    links_.fleet = fleet_.get();
    links_.packet_port = ports_.packet;
    links_.on_reset = [this](const ResetSeen& reset) { Judge(reset); };
  }

  ~World() {
    fleet_.reset();
    std::filesystem::remove_all(folder_);
  }

  [[nodiscard]] auto net() const -> std::uint32_t { return net_; }
  auto loop() -> Loop& { return loop_; }
  auto record() -> Record& { return record_; }
  auto fleet() -> Fleet& { return *fleet_; }
  auto links() -> ClientLinks& { return links_; }
  [[nodiscard]] auto trouble() const -> bool { return trouble_; }
  // Of each flow with such a number the first datagram for the client is lost.
  void set_lossy_flows(int every) { lossy_flows_ = every; }
  // The only disruption is planned work.
  void set_planned() { planned_ = true; }

  void Configure(const std::string& kind) {
    store_->Put("op/config",
                R"({"version":7,"routes":[{"name":"r-1","host":")" +
                    IpText(route_.ip) + R"(","prefix":"/8443/","kind":")" +
                    kind +
                    R"(","timeoutMs":1200,"targetLatencyMs":200,"priority":2,)"
                    R"("service":"rollfloor","maxAttempts":2}],"services":)"
                    R"([{"name":"rollfloor","healthCheckPath":"/health",)"
                    R"("maxConnections":2000,"protocol":"h1","tls":false}],)"
                    R"("limits":{"idleTimeoutMs":15000}})");
  }

  auto AddBackend(std::uint64_t number) -> Backend& {
    auto place = Backend::Place();
    place.id = "i-" + Hex(number, 10);
    place.number = number;
    place.service = "rollfloor";
    place.zone = "nelson-a";
    place.address = {net_ + 20 + static_cast<std::uint32_t>(backends_.size()),
                     8080};
    backends_.push_back(std::make_unique<Backend>(loop_, *store_, record_,
                                                  place, ports_.packet));
    record_.Line("backend " + place.id + " at " + Text(place.address));
    return *backends_.back();
  }

  // Opens a new flow, from one of the clients' addresses and a new port.
  void OpenFlow() {
    const auto index = static_cast<std::uint32_t>(flows_.size());
    const auto ip = net_ + 300 + index % kClients;
    auto& socket = sockets_[ip];
    if (socket == nullptr) {
      socket = std::make_unique<Udp>(
          loop_, Address{ip, ports_.packet},
          [this](const std::string& bytes, const Address& from) {
            Arrive(bytes, from);
          });
    }
    const auto port = static_cast<std::uint16_t>(20'000 + index);
    const auto start = static_cast<std::uint32_t>(Mix(index, 77));
    flows_.push_back(
        std::make_unique<Client>(links_, *socket, ip, route_, port, start));
    flows_.back()->Open();
  }
  [[nodiscard]] auto backends() const
      -> const std::vector<std::unique_ptr<Backend>>& {
    return backends_;
  }

  // Calls `begin` once all machines are in rotation.
  void WhenReady(std::size_t count, std::function<void()> begin) {
    loop_.After(100, [this, count, begin = std::move(begin)] {
      if (fleet_->Ready() == count) {
        begin();
      } else if (loop_.Now() > 20'000) {
        record_.Line("the machines are not ready");
        result_ = 2;
        loop_.Stop();
      } else {
        WhenReady(count, begin);
      }
    });
  }

  // Ends the play; `least` requests have to be answered for it to count.
  void Finish(int least) {
    auto answered = 0;
    for (const auto& flow : flows_) {
      answered += flow->answered();
    }
    record_.Line(
        "answered requests: " + std::to_string(answered) +
        "; flows that rule FLOW (a) counts: " + std::to_string(broken_));
    std::cout << "answered " << answered << ", broken flows " << broken_
              << ", other resets " << others_ << "\n";
    result_ = broken_ > 0 ? 1 : answered < least ? 2 : 0;
    loop_.Stop();
  }

  auto Play() -> int {
    loop_.After(kLongest, [this] {
      record_.Line("the play has taken too long");
      loop_.Stop();
    });
    loop_.Run();
    return result_;
  }

 private:
  void Arrive(const std::string& bytes, const Address& from) {
    const auto packet = Packet::Decode(bytes);
    const auto index = packet ? packet->dst.port - 20'000 : -1;
    if (index < 0 || index >= static_cast<int>(flows_.size())) {
      return;
    }
    if (lossy_flows_ > 0 && index % lossy_flows_ == 0 &&
        lost_.insert(index).second) {
      record_.Line("lost: the first datagram for " + Text(packet->dst));
      return;
    }
    flows_[static_cast<std::size_t>(index)]->Take(bytes, from);
  }

  // Rule FLOW (a): the flow is open at a backend that lives, and the reset is
  // not that backend's. The machine that took the packet has to be calm, except
  // under planned work.
  void Judge(const ResetSeen& reset) {
    const Backend* owner = nullptr;
    for (const auto& backend : backends_) {
      if (backend->Holds(reset.flow)) {
        owner = backend.get();
      }
    }
    const auto is_calm = planned_ || reset.node_calm >= kStabilityWindow;
    const auto is_own = owner != nullptr && !reset.by_system &&
                        owner->place().address == reset.sender;
    const auto is_broken = owner != nullptr && !is_own && is_calm;
    (is_broken ? broken_ : others_) += 1;
    record_.Line(
        std::string(is_broken ? "FLOW BROKEN" : "not counted") + ": " +
        Text(reset.flow.first) + " is open at " +
        (owner == nullptr ? "no backend" : owner->place().id) +
        " and is reset by " +
        (reset.by_system ? "the system" : "the backend at") + " " +
        Text(reset.sender) + "; its packet was taken by " + reset.node +
        ", calm for " + std::to_string(reset.node_calm) + " ms" +
        (reset.request.empty() ? "" : "; unanswered: " + reset.request));
  }

  const bool trouble_;
  Loop loop_;
  Record record_;
  std::uint32_t net_ = 0;
  Ports ports_;
  Address route_;
  std::string folder_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<Fleet> fleet_;
  ClientLinks links_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::map<std::uint32_t, std::unique_ptr<Udp>> sockets_;  // Of clients.
  std::vector<std::unique_ptr<Client>> flows_;
  bool planned_ = false;
  int lossy_flows_ = 0;
  std::set<int> lost_;
  int broken_ = 0;
  int others_ = 0;
  int result_ = 2;
};

// A machine stands still for 4 s while flows are opened.
void Freeze(World& world) {
  world.Configure("safe");
  for (auto number : {0x1875f80062ULL, 0x40f425ee5cULL, 0x2291a3c47bULL,
                      0x9c03d1e8f5ULL, 0x57ba60921dULL, 0xe36e4f7a08ULL}) {
    world.AddBackend(number);
  }
  world.fleet().Start(3, "nelson-a", world.net() + 10, world.net() + 1);
  constexpr auto kFreeze = 4000;
  world.WhenReady(3, [&world] {
    constexpr auto kBegin = 5000;  // All machines are calm by then.
    const auto origin = world.loop().Now();
    constexpr auto kAgain = kBegin + kFreeze + kStabilityWindow + 400;
    // A request at once, and the next one after a pause.
    world.links().pause = [&world, origin](int requests) -> std::int64_t {
      if (requests == 1) {
        return std::max<std::int64_t>(origin + kAgain - world.loop().Now(), 0);
      }
      return requests == 0 ? 0 : 500;
    };
    for (auto index = 0; index < 300; ++index) {
      world.loop().After(kBegin + 100 + 4 * index,
                         [&world] { world.OpenFlow(); });
    }
    if (world.trouble()) {
      auto& node = world.fleet().nodes()[1];
      world.loop().After(kBegin, [&world, &node] {
        world.fleet().Signal(node, SIGSTOP, "stands still:");
      });
      world.loop().After(kBegin + kFreeze, [&world, &node] {
        world.fleet().Signal(node, SIGCONT, "wakes again:");
      });
    }
    world.loop().After(kAgain + 4000, [&world] { world.Finish(150); });
  });
}

// The machines are stopped and started in turn. Of every tenth flow one
// datagram is lost, the first reply to its opening: 0.7% of all datagrams for
// clients.
void Roll(World& world) {
  world.set_planned();
  world.Configure("safe");
  for (auto number : {0x1875f80062ULL, 0x40f425ee5cULL, 0x2291a3c47bULL,
                      0x9c03d1e8f5ULL, 0x57ba60921dULL, 0xe36e4f7a08ULL}) {
    world.AddBackend(number);
  }
  world.fleet().Start(3, "nelson-a", world.net() + 10, world.net() + 1);
  world.set_lossy_flows(10);
  auto random = std::make_shared<std::mt19937>(7);
  world.links().pause = [random](int requests) -> std::int64_t {
    return requests == 6 ? -1 : 300 + (*random)() % 1000;
  };
  world.WhenReady(3, [&world] {
    constexpr auto kBegin = 5000;
    constexpr auto kLength = 60'000;
    for (auto at = 0; at < kLength; at += 6) {
      world.loop().After(kBegin + at, [&world] { world.OpenFlow(); });
    }
    for (auto turn = 0; turn < 12 && world.trouble(); ++turn) {
      world.loop().After(kBegin + 1000 + 4500 * turn, [&world, turn] {
        auto& nodes = world.fleet().nodes();
        world.fleet().Roll(nodes[static_cast<std::size_t>(turn) % 3], kGrace);
      });
    }
    world.loop().After(kBegin + kLength + 5000,
                       [&world] { world.Finish(500); });
  });
}

}  // namespace

}  // namespace review

auto main(int argc, char** argv) -> int {
  using namespace review;
  if (argc != 4) {
    std::cerr << "usage: case NAME RECORD TROUBLE\n";
    return 2;
  }
  const auto name = std::string(argv[1]);
  const auto trouble = std::string(argv[3]) != "0";
  try {
    auto world = World(argv[2], trouble);
    if (name == "freeze") {
      Freeze(world);
    } else if (name == "roll") {
      Roll(world);
    } else {
      return 2;
    }
    return world.Play();
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
