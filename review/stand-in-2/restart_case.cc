// Instances of one zone are stopped and started in turn while clients keep
// flows open. As one flow opened, a datagram was lost: a backend's reply to its
// SYN. Judges rule FLOW (a): no client gets a reset that its flow's backend has
// not sent. Arguments: program, folder for settings and logs, record file,
// TROUBLE; without trouble no datagram is lost, and the instances restart all
// the same.
#include <algorithm>
#include <memory>

#include "backend.h"

namespace review {

namespace {

constexpr int kBackends = 6;
constexpr int kFlows = 18;
// The flow whose opening is hit.
constexpr std::uint16_t kHit = 40008;
constexpr double kPause = 1400;
constexpr double kDeadline = 3000;
constexpr double kReorderWindow = 2000;
constexpr double kWork = 40;
constexpr double kRunTime = 16000;
// The instances of the clients' zone get SIGTERM one after the other.
constexpr double kRestartAt = 1500;
constexpr double kRestartGap = 3500;
constexpr double kProbeInterval = 500;
constexpr int kInstances = 5;
constexpr int kInZone = 3;  // The first ones are in the clients' zone.

struct Instance {
  std::string name;
  std::string zone;
  std::uint32_t ip;
  bool is_seed;
};

const Instance kFleet[kInstances] = {
    {"frontend-a-1", "zone-a", Ip(1, 0, 1), true},
    {"frontend-a-2", "zone-a", Ip(1, 0, 2), false},
    {"frontend-a-3", "zone-a", Ip(1, 0, 3), false},
    {"frontend-b-1", "zone-b", Ip(1, 1, 1), true},
    {"frontend-c-1", "zone-c", Ip(1, 2, 1), true}};

// A flow that a client keeps open for many requests.
struct ClientFlow {
  std::uint16_t port = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  bool is_open = false;
  bool is_over = false;
  std::string backend;  // The one at which the flow is open.
  int strayed = 0;      // Packets at other backends since the last at its own.
  double strayed_since = 0;
  int number = 0;       // Of the request in progress or the last one.
  std::string request;  // Empty while none is in progress.
};

class Case : public BackendWorld {
 public:
  Case(const std::string& program, const std::string& folder,
       const std::string& record, bool trouble, bool silent)
      : record_(loop_, record),
        trouble_(trouble),
        silent_(silent),
        packet_port_(FreePort()),
        edges_(program, folder) {}

  auto Run() -> int {
    const auto store_at = Address{Ip(9, 0, 1), FreePort()};
    const auto http_port = FreePort();
    const auto relay_port = FreePort();
    const auto metrics_port = FreePort();
    store_ = std::make_unique<Store>(loop_, store_at);
    for (auto index = 0; index < kBackends; ++index) {
      backends_.push_back(std::make_unique<Backend>(
          *this, loop_, record_, 0x7f3a9100 + 0x11 * index,
          Address{Ip(2, 0, index + 1), packet_port_}, Zone(index)));
    }
    store_->Put("op/config",
                ConfigOf(7, {{"orders", service_, "upload", "orders"}}));
    Register();
    client_ = std::make_unique<UdpSocket>(
        loop_, Address{client_ip_, packet_port_},
        [this](const std::string& text, const Address& from) {
          FromNetwork(text, from);
        });
    auto seeds = std::vector<Address>();
    for (const auto& instance : kFleet) {
      if (instance.is_seed) {
        seeds.push_back({instance.ip, relay_port});
      }
    }
    for (const auto& instance : kFleet) {
      settings_.push_back({instance.name,
                           instance.zone,
                           {instance.ip, http_port},
                           {instance.ip, packet_port_},
                           store_at,
                           {instance.ip, metrics_port},
                           {instance.ip, relay_port},
                           seeds});
      edges_.Start(settings_.back());
      ready_.push_back({instance.ip, http_port});
    }
    WaitReady();
    loop_.At(60000, [this] { Finish(); });
    loop_.Run();
    return result_;
  }

  void Opened(std::uint16_t port, const std::string& backend) override {
    auto& flow = flows_[port];
    if (flow.backend.empty()) {
      flow.backend = backend;
      record_.Line("flow :" + std::to_string(port) + " is open at " + backend);
    }
  }

  void Ran(const std::string& request, const std::string& backend) override {
    ++runs_;
    record_.Line(backend + " runs " + request);
  }

  auto IsLost(std::uint16_t port, const std::string& backend) -> bool override {
    if (!trouble_ || lost_ || port != kHit) {
      return false;
    }
    lost_ = true;
    record_.Line("LOST: the SYN+ACK of " + backend +
                 " for flow :" + std::to_string(port));
    return true;
  }

  [[nodiscard]] auto ClientAddress() const -> Address override {
    return {client_ip_, packet_port_};
  }

  [[nodiscard]] auto IsSilentBeforeOpen() const -> bool override {
    return silent_;
  }

  void Arrived(std::uint16_t port, const std::string& backend) override {
    auto& flow = flows_[port];
    if (flow.backend.empty() || flow.is_over) {
      return;
    }
    if (backend == flow.backend) {
      flow.strayed = 0;
      return;
    }
    record_.Line("a packet of flow :" + std::to_string(port) +
                 ", which is open at " + flow.backend + ", reaches " + backend);
    if (++flow.strayed == 1) {
      flow.strayed_since = loop_.Now();
      loop_.After(kReorderWindow, [this, port, since = flow.strayed_since] {
        const auto& later = flows_[port];
        if (!later.is_over && later.strayed >= 3 &&
            later.strayed_since == since) {
          record_.Line("BROKEN: FLOW (b): for 2 s " +
                       std::to_string(later.strayed) + " packets of flow :" +
                       std::to_string(port) + " reached other backends and " +
                       "none " + later.backend + ", which lives");
          broken_ = true;
        }
      });
    }
  }

 private:
  static auto Zone(int index) -> std::string {
    return std::string("zone-") + static_cast<char>('a' + index % 3);
  }

  // Heartbeats renew the entries only: "The entry changes when more than
  // `sequence` changes."
  void Register() {
    for (const auto& backend : backends_) {
      store_->Put(backend->key(),
                  EntryOf("orders", backend->at(), backend->zone(), "ready"));
    }
  }

  // The router's probes: after two misses an instance is out of rotation until
  // it answers with 200 again.
  void ProbeInstances() {
    for (auto index = std::size_t{0}; index < ready_.size(); ++index) {
      const auto before = misses_[index];
      misses_[index] = IsReady(ready_[index]) ? 0 : before + 1;
      if ((before < 2) != (misses_[index] < 2)) {
        record_.Line(kFleet[index].name + (misses_[index] < 2
                                               ? " is in rotation again"
                                               : " is out of rotation"));
      }
    }
    loop_.After(kProbeInterval, [this] { ProbeInstances(); });
  }

  // The instance in rotation with the highest score for the flow: only the
  // flows of an instance that leaves or joins move.
  [[nodiscard]] auto Route(std::uint16_t port) const -> std::uint32_t {
    auto best = std::uint32_t{0};
    auto best_score = std::uint32_t{0};
    for (auto index = 0; index < kInZone; ++index) {
      const auto score = (std::uint32_t{port} * 2654435761U ^
                          static_cast<std::uint32_t>(index + 1) * 2246822519U) *
                             3266489917U >>
                         1;
      if (misses_[index] < 2 && score >= best_score) {
        best = kFleet[index].ip;
        best_score = score;
      }
    }
    return best;
  }

  void Restart(int index) {
    record_.Line("SIGTERM to " + kFleet[index].name);
    edges_.Stop(static_cast<std::size_t>(index));
    AwaitEnd(index);
  }

  void AwaitEnd(int index) {
    if (edges_.HasEnded(static_cast<std::size_t>(index))) {
      record_.Line(kFleet[index].name + " has ended and starts again");
      loop_.After(300, [this, index] {
        edges_.StartAgain(static_cast<std::size_t>(index), settings_[index]);
      });
    } else {
      loop_.After(50, [this, index] { AwaitEnd(index); });
    }
  }

  void WaitReady() {
    auto ready = std::size_t{0};
    for (const auto& http : ready_) {
      ready += IsReady(http) ? 1 : 0;
    }
    if (ready == ready_.size()) {
      record_.Line("all edge processes are ready");
      // Longer than stabilityWindowMs.
      loop_.After(4500, [this] { StartTraffic(); });
    } else if (loop_.Now() > 15000) {
      record_.Line("the edge processes did not become ready");
      loop_.Stop();
    } else {
      loop_.After(100, [this] { WaitReady(); });
    }
  }

  void StartTraffic() {
    for (auto index = 0; index < kFlows; ++index) {
      loop_.After(40.0 * index, [this] { OpenFlow(0); });
    }
    ProbeInstances();
    for (auto index = 0; index < kInZone; ++index) {
      loop_.After(kRestartAt + kRestartGap * index,
                  [this, index] { Restart(index); });
    }
    loop_.After(kRunTime, [this] { Finish(); });
  }

  void OpenFlow(int number) {
    const auto port = next_port_++;
    auto& flow = flows_[port];
    flow.port = port;
    flow.number = number;
    flow.seq = 0x10000000U + std::uint32_t{port} * 7919U * 977U;
    for (const auto& [wait, copy] :
         {std::pair(0.0, 0), std::pair(200.0, 1), std::pair(600.0, 2)}) {
      loop_.After(wait, [this, port, copy = copy] {
        const auto& current = flows_[port];
        if (!current.is_open && !current.is_over) {
          Send(current, kSyn, static_cast<std::uint32_t>(copy), "");
        }
      });
    }
  }

  void NextRequest(std::uint16_t port) {
    auto& flow = flows_[port];
    if (flow.is_over) {
      return;
    }
    flow.request = "request-" + std::to_string(port) + "-" +
                   std::to_string(++flow.number) + " work " +
                   std::to_string(static_cast<int>(kWork));
    ++sent_;
    record_.Line("client sends " + flow.request);
    SendRequest(port, flow.number, kFirstResend);
    loop_.After(kDeadline, [this, port, number = flow.number] {
      auto& current = flows_[port];
      if (!current.is_over && current.number == number &&
          !current.request.empty()) {
        record_.Line("the client gives up " + current.request);
        current.is_over = true;
        OpenFlow(current.number);
      }
    });
  }

  void Send(const ClientFlow& attempt, std::uint8_t flags, std::uint32_t ack,
            const std::string& data) {
    auto packet = Packet();
    packet.flags = flags;
    packet.from = {client_ip_, attempt.port};
    packet.to = service_;
    packet.seq = attempt.seq;
    packet.ack = ack;
    packet.echo = (flags & kSyn) != 0 ? 0 : attempt.echo;
    packet.data = data;
    client_->Send(Encode(packet), {Route(attempt.port), packet_port_});
  }

  // Sends the request, and again while it has no answer.
  void SendRequest(std::uint16_t port, int number, double again) {
    const auto& flow = flows_[port];
    if (flow.is_over || flow.number != number || flow.request.empty()) {
      return;
    }
    Send(flow, kAck, flow.ack, flow.request);
    loop_.After(again, [this, port, number, again] {
      SendRequest(port, number, std::min(2 * again, kLongestResend));
    });
  }

  void FromNetwork(const std::string& text, const Address& from) {
    const auto packet = Decode(text);
    if (!packet || !flows_.contains(packet->to.port)) {
      return;
    }
    const auto port = packet->to.port;
    auto& flow = flows_[port];
    if (flow.is_over) {
      return;
    }
    const auto sender = NameOf(from);
    if ((packet->flags & kRst) != 0) {
      OnReset(flow, sender);
      return;
    }
    flow.echo = packet->echo;  // The last one received on the flow.
    if ((packet->flags & kSyn) != 0) {
      if (!flow.is_open) {
        flow.is_open = true;
        flow.ack = packet->seq + 1;
        ++flow.seq;
        NextRequest(port);
      }
      return;
    }
    if (!flow.request.empty() && packet->data == "done " + flow.request) {
      ++answered_;
      record_.Line("client gets the answer of " + sender + " to " +
                   flow.request);
      flow.seq += static_cast<std::uint32_t>(flow.request.size());
      flow.ack += static_cast<std::uint32_t>(packet->data.size());
      flow.request.clear();
      if ((packet->flags & kFin) != 0) {
        Send(flow, kAck | kFin, flow.ack, "");
        flow.is_over = true;
        OpenFlow(flow.number);
        return;
      }
      Send(flow, kAck, flow.ack, "");
      loop_.After(kPause, [this, port] { NextRequest(port); });
    }
  }

  void OnReset(ClientFlow& flow, const std::string& sender) {
    ++resets_;
    record_.Line("client gets a reset of flow :" + std::to_string(flow.port) +
                 " from " + sender);
    if (!flow.backend.empty() && sender != flow.backend &&
        Lives(flow.backend)) {
      record_.Line("BROKEN: FLOW (a): the flow is open at " + flow.backend +
                   ", which lives, and " + sender + " reset it");
      broken_ = true;
    }
    flow.is_over = true;
    OpenFlow(flow.number);
  }

  auto Lives(const std::string& name) const -> bool {
    return std::ranges::any_of(backends_, [&name](const auto& backend) {
      return backend->name() == name && !backend->has_left();
    });
  }

  auto NameOf(const Address& from) const -> std::string {
    for (const auto& backend : backends_) {
      if (backend->at() == from) {
        return backend->name();
      }
    }
    return "instance " + Text(from);
  }

  void Finish() {
    const auto running = edges_.Running();
    record_.Line("requests sent " + std::to_string(sent_) + ", answered " +
                 std::to_string(answered_) + ", runs " + std::to_string(runs_) +
                 ", resets " + std::to_string(resets_));
    if (broken_) {
      result_ = kBroken;
    } else if (running && answered_ > kFlows * 5) {
      result_ = kHeld;
    }
    record_.Line(result_ == kBroken ? "BROKEN"
                 : result_ == kHeld ? "HELD"
                                    : "NOT RUN");
    loop_.Stop();
  }

  Loop loop_;
  Record record_;
  const bool trouble_;
  const bool silent_;
  const std::uint16_t packet_port_;
  const std::uint32_t client_ip_ = Ip(3, 0, 7);
  const Address service_{Ip(8, 0, 1), 443};
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::unique_ptr<UdpSocket> client_;
  std::vector<Address> ready_;
  std::map<std::uint16_t, ClientFlow> flows_;
  std::uint16_t next_port_ = 40001;
  int sent_ = 0;
  int answered_ = 0;
  int runs_ = 0;
  int resets_ = 0;
  bool broken_ = false;
  bool lost_ = false;
  int misses_[kInstances] = {};
  std::vector<EdgeSettings> settings_;
  int result_ = kNotRun;
  Edges edges_;
};

}  // namespace

}  // namespace review

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 6) {
    return review::kNotRun;
  }
  try {
    return review::Case(argv[1], argv[2], argv[3], std::string(argv[4]) != "0",
                        std::string(argv[5]) == "silent")
        .Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
