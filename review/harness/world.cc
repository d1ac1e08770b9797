#include "world.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

#include "net.h"

namespace review {

namespace {

const auto kZones =
    std::array<std::string, 3>{"nelson-a", "nelson-b", "nelson-c"};
constexpr auto kMachinesOfZone = std::array<std::size_t, 3>{3, 2, 2};
constexpr std::uint16_t kBackendPort = 8080;
constexpr std::uint16_t kFirstRoutePort = 10000;
// A reset is valid when its `seq` is this close to the client's last `ack`.
constexpr std::uint32_t kResetWindow = 76800;
constexpr std::size_t kForeignPackets = 3;

auto FromEnvironment(const char* name, const std::string& fallback)
    -> std::string {
  const auto* const value = std::getenv(name);
  return value == nullptr ? fallback : std::string(value);
}

auto TextOf(Seconds time) -> std::string {
  auto text = std::ostringstream();
  text << std::fixed << std::setprecision(3) << time;
  return text.str();
}

auto TextOf(const FlowId& flow) -> std::string {
  return ToText(flow.client) + ">" + ToText(flow.route);
}

auto HexOf(std::uint64_t number) -> std::string {
  auto text = std::ostringstream();
  text << std::hex << number;
  return text.str();
}

}  // namespace

auto SettingsFromEnvironment() -> WorldSettings {
  auto settings = WorldSettings();
  settings.folder = FromEnvironment("FOLDER", "/tmp");
  settings.record = FromEnvironment("RECORD", "record.txt");
  settings.trouble = FromEnvironment("TROUBLE", "1") != "0";
  settings.seed =
      std::strtoull(FromEnvironment("SEED", "1").c_str(), nullptr, 10);
  return settings;
}

World::World(WorldSettings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      record_(settings_.record),
      store_(loop_) {
  // A loopback network 127.N.0.0/16 whose addresses are free.
  constexpr std::uint32_t kFirst = 20;
  constexpr std::uint32_t kCount = 200;
  const auto offset = static_cast<std::uint32_t>(getpid()) % kCount;
  for (auto tried = std::uint32_t{0}; tried < kCount; ++tried) {
    network_ = kFirst + (offset + tried) % kCount;
    const auto ip = Address4(1, 0);
    const auto ports = std::array<std::uint16_t, 4>{kDatagramPort, kReadyPort,
                                                    kControlPort, kMetricsPort};
    if (std::ranges::all_of(ports, [ip](auto port) {
          return IsFree({ip, port});
        })) {
      break;
    }
  }
  MakeEvents();
}

auto World::Address4(std::uint32_t group, std::size_t number) const -> Ip {
  return (127U << 24) | (network_ << 16) | (group << 8) |
         static_cast<std::uint32_t>(number + 1);
}

void World::Note(const std::string& text) {
  record_ << std::setw(9) << TextOf(loop_.Now()) << "  " << text << "\n";
}

void World::Break(const std::string& text) {
  Note("BROKEN FLOW: " + text);
  broken_.push_back(text);
}

void World::MakeEvents() {
  backend_events_.arrived = [this](std::uint64_t backend, const Packet& packet,
                                   Ip sender) {
    flows_[{packet.from, packet.to}].arrivals.push_back(
        {loop_.Now(), backend, sender, packet.syn});
  };
  backend_events_.opened = [this](std::uint64_t backend, const FlowId& id) {
    auto& flow = flows_[id];
    Count("flows opened");
    if (!flow.owner) {
      flow.owner = backend;
      flow.opened = loop_.Now();
    }
  };
  backend_events_.ran = [this](std::uint64_t backend,
                               const std::string& request) {
    Count("requests run");
    Note("run       " + request + " at " + HexOf(backend));
    if (++runs_[request] > 1) {
      Note("run twice " + request);
    }
  };
  backend_events_.closed = [this](std::uint64_t backend, const FlowId& id) {
    auto& flow = flows_[id];
    if (flow.owner == backend && !flow.closed) {
      flow.closed = loop_.Now();
    }
  };
  backend_events_.damaged = [this](std::uint64_t backend) {
    Note("a changed packet at " + HexOf(backend));
  };
  backend_events_.full = [this](std::uint64_t) {
    Count("SYNs that a full backend did not answer");
  };
  client_events_.send = [this](const FlowId& id, const std::string& zone,
                               std::string_view bytes,
                               const UdpSocket& socket) {
    const auto machine = fleet_->Route(id, zone);
    if (machine) {
      socket.Send({fleet_->at(*machine).ip, kDatagramPort}, bytes);
    }
  };
  client_events_.is_lost = [this] {
    if (loss_ <= 0 ||
        std::uniform_real_distribution<double>()(random_) >= loss_) {
      return false;
    }
    Count("datagrams lost");
    return true;
  };
  client_events_.sent = [this](const FlowId& id, const std::string& request) {
    Count("requests sent");
    Note("sent      " + request + " on " + TextOf(id));
  };
  client_events_.answered = [this](const FlowId&, const std::string& request) {
    Count("requests answered");
    Note("answered  " + request);
  };
  client_events_.reset = [this](const FlowId& id, Ip machine, std::uint32_t seq,
                                std::uint32_t last_ack,
                                const std::string& waiting) {
    OnReset(id, machine, seq, last_ack, waiting);
  };
  client_events_.second_syn_ack = [this](const FlowId& id) {
    Count("SYN+ACKs of a second backend on an open flow");
    Note("a second backend's SYN+ACK on " + TextOf(id));
  };
  client_events_.ended = [this](const FlowId& id, FlowEnd end) {
    Count("flows: " + ToText(end));
    if (end != FlowEnd::kDone) {
      Note("flow      " + TextOf(id) + " " + ToText(end));
    }
  };
  client_events_.foreign = [this](const FlowId& id) {
    Note("a packet that nobody wrote so on " + TextOf(id));
  };
}

void World::AddMachines(const std::vector<std::size_t>& seeds) {
  auto settings = FleetSettings();
  settings.program = "target/hemlockwick";
  settings.settings = "platform/settings.yaml.in";
  settings.folder = settings_.folder;
  settings.seeds = seeds;
  fleet_ = std::make_unique<Fleet>(loop_, settings);
  for (auto zone = std::size_t{0}; zone < kZones.size(); ++zone) {
    for (auto index = std::size_t{0}; index < kMachinesOfZone[zone]; ++index) {
      const auto machine = fleet_->size();
      const auto store = Address{Address4(4, machine), kStorePort};
      store_.Listen(machine, store);
      fleet_->Add("frontend-" + kZones[zone] + "-" + std::to_string(index + 1),
                  kZones[zone], Address4(1, machine), store);
    }
  }
}

void World::AddBackends(std::size_t per_zone) {
  for (const auto& zone : kZones) {
    for (auto index = std::size_t{0}; index < per_zone; ++index) {
      const auto id = (random_() & 0xffffffffU) | 1U;
      const auto address = Address{Address4(3, backends_.size()), kBackendPort};
      backends_.push_back(std::make_unique<Backend>(
          loop_, id, "rollfloor", zone, address, random_(), backend_events_));
      backends_.back()->set_max_connections(max_connections_);
      store_.Put(backends_.back()->key(), backends_.back()->Entry());
    }
  }
}

void World::AddClients(std::size_t per_zone) {
  for (const auto& zone : kZones) {
    for (auto index = std::size_t{0}; index < per_zone; ++index) {
      hosts_.push_back(std::make_unique<ClientHost>(
          loop_, Address4(2, hosts_.size()), random_(),
          [this](Ip ip) { return fleet_->Find(ip).has_value(); },
          client_events_));
      host_zones_.push_back(zone);
    }
  }
}

auto World::zone_of_client(std::size_t index) const -> std::string {
  return host_zones_[index];
}

void World::Open(std::size_t client, FlowPlan plan,
                 std::function<void(FlowEnd)> then) {
  plan.zone = host_zones_[client];
  hosts_[client]->Open(plan, std::move(then));
}

void World::Start() {
  fleet_->Start();
  constexpr auto kMaxStart = 20.0;
  while (!fleet_->AllInRotation()) {
    if (loop_.Now() > kMaxStart) {
      CannotRun("the machines do not become ready");
    }
    loop_.RunUntil(loop_.Now() + 0.1);
  }
  // The machines have been in touch for the whole stability window.
  loop_.RunUntil(loop_.Now() + kStabilityWindow + 1);
  Note("all machines are in rotation; traffic starts");
}

auto World::RouteAddress(std::size_t number) const -> Address {
  return {Address4(9, 0), static_cast<std::uint16_t>(kFirstRoutePort + number)};
}

void World::CutFromStore(std::size_t machine, Seconds time) {
  Note(fleet_->at(machine).name + " is cut off from the store for " +
       TextOf(time) + " s");
  store_.SetCutOff(machine, true);
  disturbed_until_[machine] = loop_.Now() + time;
  loop_.After(time, [this, machine] { store_.SetCutOff(machine, false); });
}

void World::StopMachine(std::size_t machine) {
  Note("SIGTERM to " + fleet_->at(machine).name);
  fleet_->Stop(machine);
}

void World::SlowBackend(std::size_t backend, double factor, Seconds time) {
  auto& slow = *backends_[backend];
  Note("backend " + HexOf(slow.id()) + " is slow for " + TextOf(time) + " s");
  slow.SetSlowness(factor);
  backend_disturbed_until_[slow.id()] = loop_.Now() + time;
  loop_.After(time, [&slow] { slow.SetSlowness(1); });
}

// Whether the backend had no disruption in the last stabilityWindowMs.
auto World::IsCalm(std::uint64_t backend) const -> bool {
  const auto found = backend_disturbed_until_.find(backend);
  return found == backend_disturbed_until_.end() ||
         loop_.Now() > found->second + kStabilityWindow;
}

// In touch: no disruption of the machine in the last stabilityWindowMs. The
// store is stable in all cases.
auto World::IsInTouch(std::size_t machine) const -> bool {
  const auto& state = fleet_->at(machine);
  const auto found = disturbed_until_.find(machine);
  const auto is_calm = found == disturbed_until_.end() ||
                       loop_.Now() > found->second + kStabilityWindow;
  return is_calm && !state.told_to_end && state.process >= 0 &&
         loop_.Now() - state.started > kStabilityWindow;
}

auto World::Publish(const std::vector<Address>& routes, const std::string& kind)
    -> std::uint64_t {
  version_ += 1 + random_() % 3;
  auto text = R"({"version":)" + std::to_string(version_) + R"(,"routes":[)";
  for (auto index = std::size_t{0}; index < routes.size(); ++index) {
    text += std::string(index == 0 ? "" : ",") + R"({"name":"r-)" +
            std::to_string(routes[index].port) + R"(","host":")" +
            ToText(routes[index].ip) + R"(","prefix":"/)" +
            std::to_string(routes[index].port) + R"(/","kind":")" + kind +
            R"(","timeoutMs":1500,"targetLatencyMs":250,)"
            R"("priority":1,"service":"rollfloor","maxAttempts":2})";
  }
  text += R"(],"services":[{"name":"rollfloor","healthCheckPath":"/health",)"
          R"("maxConnections":)" +
          std::to_string(max_connections_) +
          R"(,"protocol":"h1","tls":false}],"limits":)"
          R"({"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
          R"("headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
  store_.Put("op/config", text);
  Note("version " + std::to_string(version_) + " acknowledged, " +
       std::to_string(routes.size()) + " routes");
  return version_;
}

// FLOW (a): a reset that the flow's backend did not send, while that backend
// lives and is calm, by a machine in touch that took the flow's packet. No
// backend ends in these cases, and no configuration drops a route.
void World::OnReset(const FlowId& id, Ip machine, std::uint32_t seq,
                    std::uint32_t last_ack, const std::string& waiting) {
  const auto& flow = flows_[id];
  const auto number = *fleet_->Find(machine);
  const auto is_open = flow.owner.has_value() && !flow.closed;
  const auto distance = static_cast<std::int32_t>(seq - last_ack);
  auto text = "flow " + TextOf(id) + " reset by " + fleet_->at(number).name;
  if (flow.owner) {
    text += ", open at backend " + HexOf(*flow.owner) + " for " +
            TextOf(loop_.Now() - flow.opened) + " s";
  }
  text += ", request waiting: " + (waiting.empty() ? "none" : waiting);
  if (static_cast<std::uint32_t>(std::abs(distance)) > kResetWindow) {
    text += ", seq not valid";
  }
  if (is_open && IsInTouch(number) && IsCalm(*flow.owner)) {
    if (runs_.contains(waiting)) {
      Count("requests run whose answer a reset cut off");
    }
    Break(text);
  } else {
    Note("excused, " +
         std::string(is_open ? "machine or backend not calm: "
                             : "not open at a backend: ") +
         text);
  }
}

// FLOW (b): for reorderWindowMs three or more of the flow's packets reach other
// backends and none its own.
void World::JudgeArrivals() {
  for (const auto& [id, flow] : flows_) {
    if (!flow.owner) {
      continue;
    }
    const auto end = flow.closed.value_or(loop_.Now());
    for (auto first = std::size_t{0}; first < flow.arrivals.size(); ++first) {
      const auto start = flow.arrivals[first].at;
      if (start <= flow.opened || start + kReorderWindow > end ||
          flow.arrivals[first].backend == *flow.owner) {
        continue;
      }
      auto foreign = std::size_t{0};
      auto own = std::size_t{0};
      for (auto at = first; at < flow.arrivals.size() &&
                            flow.arrivals[at].at <= start + kReorderWindow;
           ++at) {
        ++(flow.arrivals[at].backend == *flow.owner ? own : foreign);
      }
      if (own == 0 && foreign >= kForeignPackets) {
        Break("flow " + TextOf(id) + ", open at backend " + HexOf(*flow.owner) +
              " since " + TextOf(flow.opened) + ": from " + TextOf(start) +
              " on " + std::to_string(foreign) + " packets reach backend " +
              HexOf(flow.arrivals[first].backend) + " and none its own in 2 s");
        break;
      }
    }
  }
}

auto World::Finish() -> int {
  JudgeArrivals();
  fleet_->EndAll();
  record_ << "\n";
  for (const auto& [name, count] : counts_) {
    record_ << name << ": " << count << "\n";
  }
  record_ << "processes that ended by themselves: " << fleet_->unexpected_ends()
          << "\n";
  record_ << "rule FLOW broken: " << broken_.size() << " times\n";
  std::cout << "rule FLOW broken: " << broken_.size() << " times\n";
  if (!broken_.empty()) {
    std::cout << "the first: " << broken_.front() << "\n";
  }
  if (counts_["requests answered"] == 0 || fleet_->unexpected_ends() > 0) {
    CannotRun("nothing was answered, or a process ended by itself");
  }
  return broken_.empty() ? 0 : 1;
}

}  // namespace review
