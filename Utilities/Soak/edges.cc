#include "Soak/edges.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick::soak {

namespace {

constexpr Duration kProbeTimeout = std::chrono::milliseconds(450);
constexpr Duration kRestartDelay = std::chrono::milliseconds(300);
constexpr Duration kSignalRetry = std::chrono::milliseconds(5);
const auto kZones = std::array<std::string, 3>{"a", "b", "c"};

// Ports of the proxies on an instance's connections; the seeds' follow.
constexpr std::uint16_t kStoreProxyPort = 7000;

}  // namespace

Edges::Edges(World& world, EdgeSettings settings)
    : world_(world), settings_(std::move(settings)) {}

auto Edges::Start(World& world, const EdgeSettings& settings)
    -> Result<std::unique_ptr<Edges>> {
  auto edges = std::unique_ptr<Edges>(new Edges(world, settings));
  edges->Connect();
  for (auto index = std::size_t{0}; index < settings.instances; ++index) {
    edges->WriteSettings(index, "info");
    BOOST_LEAF_CHECK(edges->StartProcess(index));
  }
  return edges;
}

void Edges::Connect() {
  auto& context = world_.context();
  for (auto index = std::size_t{0}; index < settings_.instances; ++index) {
    auto edge = std::make_unique<Edge>();
    edge->ip = world_.Address(1, index);
    edge->zone = kZones[index % kZones.size()];
    const auto proxy = world_.Address(4, index);
    edge->store = std::make_unique<FaultProxy>(
        context, SocketAddress{proxy, Port(kStoreProxyPort)}, settings_.store);
    for (auto seed = std::size_t{0}; seed < kSeeds; ++seed) {
      const auto port = static_cast<std::uint16_t>(kStoreProxyPort + 1 + seed);
      edge->relays.push_back(std::make_unique<FaultProxy>(
          context, SocketAddress{proxy, Port(port)},
          SocketAddress{world_.Address(1, seed), kRelayPort}));
    }
    edge->probe = std::make_unique<HttpConnection>(
        context, SocketAddress{edge->ip, kReadyPort});
    edges_.push_back(std::move(edge));
  }
}

auto Edges::FileOf(std::size_t index, const char* ending) const -> std::string {
  return settings_.folder / ("edge-" + std::to_string(index) + ending);
}

// A seed names itself by its own address, the others by their proxies.
auto Edges::SeedsOf(std::size_t index) const -> std::string {
  auto text = std::string();
  for (auto seed = std::size_t{0}; seed < kSeeds; ++seed) {
    const auto port = static_cast<std::uint16_t>(kStoreProxyPort + 1 + seed);
    const auto address =
        seed == index ? SocketAddress{world_.Address(1, index), kRelayPort}
                      : SocketAddress{world_.Address(4, index), Port(port)};
    text += (text.empty() ? "" : ", ") + ToString(address);
  }
  return text;
}

void Edges::WriteSettings(std::size_t index, const std::string& level) const {
  const auto& edge = *edges_[index];
  const auto at = [&edge](Port port) {
    return ToString(SocketAddress{edge.ip, port});
  };
  auto file = std::ofstream(FileOf(index, ".yaml"));
  file << "name: edge-" << index << "\ndata_centre: " << edge.zone
       << "\nhttp: " << at(kReadyPort) << "\npacket: " << at(kPacketPort)
       << "\nrelay: " << at(kRelayPort) << "\nmetrics: " << at(kMetricsPort)
       << "\nplatform: "
       << ToString(
              SocketAddress{world_.Address(4, index), Port(kStoreProxyPort)})
       << "\nseeds: [" << SeedsOf(index)
       << "]\nleave_grace: 1500ms\ndrain_deadline: 4500ms\nlog_level: " << level
       << "\n";
}

auto Edges::StartProcess(std::size_t index) -> Result<void> {
  auto& edge = *edges_[index];
  BOOST_LEAF_ASSIGN(
      edge.process,
      InstanceProcess::Start(settings_.program, "edge", FileOf(index, ".yaml"),
                             FileOf(index, ".log")));
  ++edge.life;
  edge.may_end = false;
  edge.was_killed = false;
  edge.paused = false;
  edge.calm.Disturb(world_.Now());
  return {};
}

auto Edges::Find(Ipv4Address ip) -> Edge* {
  const auto found = std::ranges::find_if(
      edges_, [ip](const auto& edge) { return edge->ip == ip; });
  return found == edges_.end() ? nullptr : found->get();
}

auto Edges::Route(const SocketAddress& caller, const SocketAddress& service,
                  const std::string& zone) const -> SocketAddress {
  const auto count = [&](bool ready_only, bool zone_only) {
    return std::ranges::count_if(edges_, [&](const auto& edge) {
      return (!ready_only || edge->in_rotation()) &&
             (!zone_only || edge->zone == zone);
    });
  };
  const auto in_zone = count(false, true);
  const auto ready = count(true, true);
  const auto zone_only = ready > 0 || count(true, false) == 0;
  const auto ready_only = 2 * ready >= in_zone || ready == 0;
  const auto key = std::hash<SocketAddress>()(caller) ^
                   (std::hash<SocketAddress>()(service) << 1);
  auto best = Ipv4Address();
  auto best_score = std::uint64_t{0};
  for (const auto& edge : edges_) {
    const auto may_take = (!ready_only || edge->in_rotation()) &&
                          (!zone_only || edge->zone == zone);
    const auto score = MixWords(key, edge->ip.value());
    if (may_take && score >= best_score) {
      best = edge->ip;
      best_score = score;
    }
  }
  return {best, kPacketPort};
}

void Edges::End(std::size_t index, int signal) {
  auto& edge = *edges_[index];
  if ((edge.paused && signal != SIGKILL) || !edge.process) {
    return;
  }
  if (signal != SIGKILL && !edge.process->Handles(signal)) {
    // It has not run its first instructions.
    world_.After(kSignalRetry, [this, index, signal] { End(index, signal); });
    return;
  }
  edge.may_end = true;
  edge.was_killed = edge.was_killed || signal == SIGKILL;
  edge.calm.Disturb(world_.Now());
  edge.process->Signal(signal);
}

void Edges::Reload(std::size_t index) {
  const auto& process = edges_[index]->process;
  if (!process) {
    return;
  }
  if (process->Handles(SIGHUP)) {
    process->Signal(SIGHUP);
  } else {
    // It has not run its first instructions.
    world_.After(kSignalRetry, [this, index] { Reload(index); });
  }
}

void Edges::Pause(std::size_t index, Duration time) {
  auto& edge = *edges_[index];
  if (edge.paused || edge.may_end || !edge.process) {
    return;
  }
  edge.paused = true;
  edge.process->Signal(SIGSTOP);
  edge.calm.DisturbUntil(world_.Now() + time);
  world_.After(time, [&edge] {
    edge.paused = false;
    if (edge.process) {
      edge.process->Signal(SIGCONT);
    }
  });
}

auto Edges::AllReady() const -> bool {
  return std::ranges::all_of(
      edges_, [](const auto& edge) { return edge->in_rotation(); });
}

void Edges::Watch() {
  if (stopped_) {
    return;
  }
  for (auto index = std::size_t{0}; index < edges_.size(); ++index) {
    CheckEnded(index);
    Probe(*edges_[index]);
  }
}

void Edges::CheckEnded(std::size_t index) {
  auto& edge = *edges_[index];
  if (!edge.process || !edge.process->Ended()) {
    return;
  }
  if (!edge.may_end) {
    world_.Break("processes end only when told to",
                 "edge-" + std::to_string(index));
  } else if (!edge.was_killed && edge.process->exit_code() != 0) {
    world_.Break("planned stops end in order", "edge-" + std::to_string(index));
  }
  edge.process.reset();
  edge.calm.DisturbUntil(world_.Now() + kRestartDelay);
  world_.After(kRestartDelay, [this, index] { Restart(index); });
}

void Edges::Restart(std::size_t index) {
  if (stopped_) {
    return;
  }
  TryOr([&] { return StartProcess(index); },
        [this](const Error& error) {
          world_.Break("processes start", error.message);
        });
}

void Edges::Probe(Edge& edge) {
  if (edge.probing) {
    return;
  }
  edge.probing = true;
  edge.probe->Get("/readyz", kProbeTimeout, [&edge](const HttpAnswer& answer) {
    edge.probing = false;
    edge.missed_probes = answer.status == 200 ? 0 : edge.missed_probes + 1;
  });
}

}  // namespace hemlockwick::soak
