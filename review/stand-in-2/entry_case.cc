// Another writer puts an entry that can't be read beside those of the backends,
// and deletes it some seconds later. Its id ends in the digits of a backend's
// id. Judges rule FLOW (a): no client gets a reset that its flow's backend has
// not sent. Arguments: program, folder for settings and logs, record file,
// TROUBLE.
#include <algorithm>
#include <memory>

#include "backend.h"

namespace review {

namespace {

constexpr int kBackends = 6;
constexpr int kFlows = 12;
constexpr double kPause = 3000;
constexpr double kDeadline = 3000;
constexpr double kWork = 40;
constexpr double kRunTime = 26000;
// The other writer's entry: from kEntryAt on, for kEntryTime, kTimes times.
constexpr double kEntryAt = 3000;
constexpr double kEntryTime = 2000;
constexpr double kEntryGap = 3700;
constexpr int kTimes = 6;
constexpr std::size_t kNamesake = 2;  // The backend with the same digits.
constexpr int kInstances = 3;

struct Instance {
  std::string name;
  std::string zone;
  std::uint32_t ip;
};

const Instance kFleet[kInstances] = {{"frontend-a-1", "zone-a", Ip(1, 0, 1)},
                                     {"frontend-b-1", "zone-b", Ip(1, 1, 1)},
                                     {"frontend-c-1", "zone-c", Ip(1, 2, 1)}};

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
    for (auto index = 0; index < kBackends; ++index) {
      backends_.push_back(std::make_unique<Backend>(
          *this, loop_, record_, 0x7f3a9100 + 0x11 * index,
          Address{Ip(2, 0, index + 1), packet_port_}, Zone(index)));
    }
    store_->Put("op/config",
                ConfigOf(7, {{"orders", service_, "unsafe", "orders"}}));
    Register();
    client_ = std::make_unique<UdpSocket>(
        loop_, Address{client_ip_, packet_port_},
        [this](const std::string& text, const Address& from) {
          FromNetwork(text, from);
        });
    auto seeds = std::vector<Address>();
    for (const auto& instance : kFleet) {
      seeds.push_back({instance.ip, relay_port});
    }
    for (const auto& instance : kFleet) {
      edges_.Start({instance.name,
                    instance.zone,
                    {instance.ip, http_port},
                    {instance.ip, packet_port_},
                    store_at,
                    {instance.ip, metrics_port},
                    {instance.ip, relay_port},
                    seeds});
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

  // Heartbeats renew the entries only: "The entry changes when more than
  // `sequence` changes."
  void Register() {
    for (const auto& backend : backends_) {
      store_->Put(backend->key(),
                  EntryOf("orders", backend->at(), backend->zone(), "ready"));
    }
  }

  // All packets of a flow go to one instance.
  static auto Route(std::uint16_t port) -> std::uint32_t {
    return kFleet[port % kInstances].ip;
  }

  void WriteEntry() {
    const auto id = backends_[kNamesake]->name();
    const auto key = "servers/agent" + id.substr(id.find('-'));
    record_.Line("another writer puts " + key + ": bytes that can't be read");
    store_->Put(key, std::string("\x01\xff\x13 agent"));
    loop_.After(kEntryTime, [this, key] {
      record_.Line("another writer deletes " + key);
      store_->Delete(key);
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
      loop_.After(90.0 * index, [this] { OpenFlow(0); });
    }
    for (auto time = 0; trouble_ && time < kTimes; ++time) {
      loop_.After(kEntryAt + kEntryGap * time, [this] { WriteEntry(); });
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
    } else if (running && answered_ > kFlows * 4) {
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
