// Backends of one service are replaced in turn, and each start of a backend
// gives a new id: the number of the start in the upper half, that of the host
// in the lower one. Judges rule FLOW (a): no client gets a reset that its
// flow's backend has not sent. Arguments: program, folder for settings and
// logs, record file, TROUBLE.
#include <algorithm>
#include <memory>

#include "backend.h"

namespace review {

namespace {

constexpr int kHosts = 6;
constexpr int kFlows = 18;
constexpr double kPause = 300;
constexpr double kWork = 40;
constexpr double kRunTime = 16000;
// The release: this many hosts in turn, from kReleaseAt on. The new backend
// starts first, then the old one drains; it leaves after drainMs and a little.
constexpr int kReplaced = 3;
constexpr double kReleaseAt = 2500;
constexpr double kReleaseGap = 2500;
constexpr double kOverlap = 1000;
constexpr double kDrainTime = 4500;

// A flow that a client keeps open for many requests.
struct ClientFlow {
  std::uint16_t port = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  bool is_open = false;
  bool is_over = false;
  std::string backend;  // The one at which the flow is open.
  int number = 0;       // Of the request in progress or the last one.
  std::string request;  // Empty while none is in progress.
};

class Case : public BackendWorld {
 public:
  Case(const std::string& program, const std::string& folder,
       const std::string& record, bool trouble)
      : record_(loop_, record),
        trouble_(trouble),
        packet_port_(FreePort()),
        edges_(program, folder) {}

  auto Run() -> int {
    const auto store_at = Address{Ip(9, 0, 1), FreePort()};
    const auto http_port = FreePort();
    const auto relay_port = FreePort();
    const auto metrics_port = FreePort();
    store_ = std::make_unique<Store>(loop_, store_at);
    auto seeds = std::vector<Address>();
    for (auto index = 0; index < 3; ++index) {
      seeds.push_back({Ip(1, 0, index + 1), relay_port});
    }
    for (auto host = 1; host <= kHosts; ++host) {
      StartBackend(host, 1);
    }
    store_->Put("op/config",
                ConfigOf(7, {{"orders", service_, "safe", "orders"}}));
    client_ = std::make_unique<UdpSocket>(
        loop_, Address{client_ip_, packet_port_},
        [this](const std::string& text, const Address& from) {
          FromNetwork(text, from);
        });
    for (auto index = 0; index < 3; ++index) {
      const auto ip = Ip(1, 0, index + 1);
      edges_.Start({"frontend-" + Zone(index) + "-1",
                    Zone(index),
                    {ip, http_port},
                    {ip, packet_port_},
                    store_at,
                    {ip, metrics_port},
                    {ip, relay_port},
                    seeds});
      ready_.push_back({ip, http_port});
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

  auto IsLost(std::uint16_t, const std::string&) -> bool override {
    return false;
  }

  [[nodiscard]] auto ClientAddress() const -> Address override {
    return {client_ip_, packet_port_};
  }

 private:
  static auto Zone(int index) -> std::string {
    return std::string("zone-") + static_cast<char>('a' + index % 3);
  }

  // The id of a start: its number, then the host's number.
  static auto IdOf(int host, int start) -> std::uint64_t {
    return static_cast<std::uint64_t>(start) << 32 |
           static_cast<std::uint64_t>(host);
  }

  void StartBackend(int host, int start) {
    const auto at = Address{Ip(2, start, host), packet_port_};
    backends_.push_back(std::make_unique<Backend>(
        *this, loop_, record_, IdOf(host, start), at, Zone(host)));
    record_.Line(backends_.back()->name() + " starts on host " +
                 std::to_string(host));
    Report(*backends_.back());
  }

  // Heartbeats renew the entries only: "The entry changes when more than
  // `sequence` changes."
  void Report(const Backend& backend) {
    const auto* const state = backend.is_draining() ? "draining" : "ready";
    store_->Put(backend.key(),
                EntryOf("orders", backend.at(), backend.zone(), state));
  }

  void Replace(int host) {
    StartBackend(host, 2);
    auto* const old = backends_[static_cast<std::size_t>(host - 1)].get();
    loop_.After(kOverlap, [this, old] {
      record_.Line(old->name() + " drains");
      old->Drain();
      Report(*old);
    });
    loop_.After(kOverlap + kDrainTime, [this, old] {
      record_.Line(old->name() + " has left");
      old->Leave();
      store_->Delete(old->key());
    });
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
    if (trouble_) {
      for (auto host = 1; host <= kReplaced; ++host) {
        loop_.After(kReleaseAt + kReleaseGap * (host - 1),
                    [this, host] { Replace(host); });
      }
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
  }

  // The router: all packets of a flow go to one instance, which stays in
  // rotation.
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
    client_->Send(Encode(packet),
                  {Ip(1, 0, attempt.port % 3 + 1), packet_port_});
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
    } else if (running && answered_ > kFlows * 10) {
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
  int result_ = kNotRun;
  Edges edges_;
};

}  // namespace

}  // namespace review

auto main(int argc, char** argv) -> int {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc != 5) {
    return review::kNotRun;
  }
  try {
    return review::Case(argv[1], argv[2], argv[3], std::string(argv[4]) != "0")
        .Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
