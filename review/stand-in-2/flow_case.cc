// A datagram is lost while a flow opens: the reply of one backend to a SYN.
// Judges rule FLOW (a): no client gets a reset that its flow's backend has not
// sent. Arguments: program, folder for settings and logs, record file, TROUBLE.
#include <memory>
#include <set>

#include "backend.h"

namespace review {

namespace {

constexpr int kRequests = 60;
// Every tenth request takes long, as the tail of the work times on the users'
// sheets; the others take a usual time.
constexpr int kLongEvery = 10;
constexpr double kWork = 40;
constexpr double kLongWork = 330;
// The request whose opening is hit; one that takes long.
constexpr int kHit = 40;

constexpr double kPace = 100;
constexpr double kDeadline = 1500;

struct Verdict {
  bool broken = false;
  int served = 0;
  int unserved = 0;
  int runs_twice = 0;
};

// One request on a flow of its own.
struct Attempt {
  int number = 0;
  std::uint16_t port = 0;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  bool is_open = false;
  bool is_over = false;
  std::string backend;  // The one at which the flow is open.
  std::string request;
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
    for (auto index = 0; index < 6; ++index) {
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
    loop_.At(40000, [this] { Finish(); });
    loop_.Run();
    return result_;
  }

  // Called by a backend: the flow is open there from now on.
  void Opened(std::uint16_t port, const std::string& backend) override {
    auto& attempt = attempts_[port];
    if (attempt.backend.empty()) {
      attempt.backend = backend;
      record_.Line("flow :" + std::to_string(port) + " is open at " + backend);
    }
  }

  void Ran(const std::string& request, const std::string& backend) override {
    const auto count = ++runs_[request];
    record_.Line(backend + " runs " + request);
    verdict_.runs_twice += count > 1 ? 1 : 0;
  }

  // Whether a backend's reply to the opening of the flow is lost on its way.
  auto IsLost(std::uint16_t port, const std::string& backend) -> bool override {
    if (!trouble_ || lost_ || attempts_[port].number != kHit) {
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

  void WaitReady() {
    auto ready = std::size_t{0};
    for (const auto& http : ready_) {
      ready += IsReady(http) ? 1 : 0;
    }
    if (ready == ready_.size()) {
      record_.Line("all edge processes are ready");
      // Longer than stabilityWindowMs.
      loop_.After(4500, [this] { NextRequest(1); });
    } else if (loop_.Now() > 15000) {
      record_.Line("the edge processes did not become ready");
      loop_.Stop();
    } else {
      loop_.After(100, [this] { WaitReady(); });
    }
  }

  void NextRequest(int number) {
    if (number > kRequests) {
      loop_.After(2500, [this] { Finish(); });
      return;
    }
    const auto port = static_cast<std::uint16_t>(40000 + number);
    auto& attempt = attempts_[port];
    attempt.number = number;
    attempt.port = port;
    attempt.seq =
        0x10000000U + static_cast<std::uint32_t>(number) * 7919U * 977U;
    const auto is_long = number % kLongEvery == 0;
    attempt.request =
        "request-" + std::to_string(number) + " work " +
        std::to_string(static_cast<int>(is_long ? kLongWork : kWork));
    record_.Line("client sends " + attempt.request +
                 " on flow :" + std::to_string(port));
    SendOpening(port, 0);
    for (const auto& [wait, copy] :
         {std::pair(200.0, 1), std::pair(600.0, 2)}) {
      loop_.After(wait, [this, port, copy = copy] {
        const auto& current = attempts_[port];
        if (!current.is_open && !current.is_over) {
          SendOpening(port, copy);
        }
      });
    }
    loop_.After(1400, [this, port] {
      if (!attempts_[port].is_open) {
        End(port, "never opened");
      }
    });
    loop_.After(kDeadline, [this, port] { End(port, "deadline"); });
    loop_.After(kPace, [this, number] { NextRequest(number + 1); });
  }

  // The router: all packets of a flow go to one instance, which stays in
  // rotation.
  void Send(const Attempt& attempt, std::uint8_t flags, std::uint32_t ack,
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

  void SendOpening(std::uint16_t port, int copy) {
    Send(attempts_[port], kSyn, static_cast<std::uint32_t>(copy), "");
  }

  void SendRequest(std::uint16_t port, double again) {
    const auto& attempt = attempts_[port];
    if (attempt.is_over) {
      return;
    }
    Send(attempt, kAck, attempt.ack, attempt.request);
    loop_.After(again, [this, port, again] {
      if (!acknowledged_.contains(port)) {
        SendRequest(port, std::min(2 * again, kLongestResend));
      }
    });
  }

  void FromNetwork(const std::string& text, const Address& from) {
    const auto packet = Decode(text);
    if (!packet || !attempts_.contains(packet->to.port)) {
      return;
    }
    const auto port = packet->to.port;
    auto& attempt = attempts_[port];
    if (attempt.is_over) {
      return;
    }
    const auto sender = NameOf(from);
    if ((packet->flags & kRst) != 0) {
      record_.Line("client gets a reset of flow :" + std::to_string(port) +
                   " from " + sender);
      if (!attempt.backend.empty() && sender != attempt.backend) {
        record_.Line("BROKEN: FLOW (a): the flow is open at " +
                     attempt.backend + ", which lives, and " + sender +
                     " reset it");
        verdict_.broken = true;
      }
      End(port, "reset");
      return;
    }
    attempt.echo = packet->echo;  // The last one received on the flow.
    if ((packet->flags & kSyn) != 0) {
      record_.Line("client gets a SYN+ACK of flow :" + std::to_string(port) +
                   " from " + sender +
                   (attempt.is_open ? ", which is open" : ""));
      if (!attempt.is_open) {
        attempt.is_open = true;
        attempt.ack = packet->seq + 1;
        ++attempt.seq;
        SendRequest(port, kFirstResend);
      }
      return;
    }
    if (packet->ack == attempt.seq + attempt.request.size()) {
      acknowledged_.insert(port);
    }
    if (packet->data == "done " + attempt.request) {
      attempt.seq += static_cast<std::uint32_t>(attempt.request.size());
      attempt.ack += static_cast<std::uint32_t>(packet->data.size());
      Send(attempt, kAck | kFin, attempt.ack, "");
      End(port, "served");
    }
  }

  auto NameOf(const Address& from) const -> std::string {
    for (const auto& backend : backends_) {
      if (backend->at() == from) {
        return backend->name();
      }
    }
    return "instance " + Text(from);
  }

  void End(std::uint16_t port, const std::string& how) {
    auto& attempt = attempts_[port];
    if (attempt.is_over) {
      return;
    }
    attempt.is_over = true;
    record_.Line("end of " + attempt.request + ": " + how);
    ++(how == "served" ? verdict_.served : verdict_.unserved);
    const auto ran = runs_.contains(attempt.request);
    if (how != "served" && ran) {
      record_.Line(attempt.request +
                   " has run, its client has no answer and does not repeat it");
    }
  }

  void Finish() {
    const auto running = edges_.Running();
    const auto complete = verdict_.served + verdict_.unserved == kRequests;
    record_.Line("served " + std::to_string(verdict_.served) + ", not served " +
                 std::to_string(verdict_.unserved) + ", run twice " +
                 std::to_string(verdict_.runs_twice));
    if (verdict_.broken) {
      result_ = kBroken;
    } else if (running && complete && verdict_.served > kRequests / 2) {
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
  std::map<std::uint16_t, Attempt> attempts_;
  std::set<std::uint16_t> acknowledged_;
  std::map<std::string, int> runs_;
  Verdict verdict_;
  bool lost_ = false;
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
