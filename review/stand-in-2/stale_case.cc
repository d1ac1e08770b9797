// The platform's store is busy for 5.2 s; as it returns, one seed is cut off
// from the store and from the machines of the other zones for 5.5 s. Judges
// rule CONFIG at the other instances, which are in touch.
// Arguments: program, folder for settings and logs, record file, TROUBLE, and
// what the names of the instances begin with.
#include <memory>

#include "world.h"

namespace review {

namespace {

constexpr int kRounds = 9;
constexpr double kRoundTime = 12200;
constexpr double kBusyTime = 5200;
constexpr double kCutAt = 5100;
constexpr double kCutTime = 5500;
constexpr double kChangeAt = 5300;
// Bounds of the sheet.
constexpr double kConfigApply = 3000;
constexpr double kStability = 4000;
// Added to both, so that the time of this program's own steps doesn't count.
constexpr double kMargin = 100;
constexpr double kProbeInterval = 40;

constexpr int kInstances = 7;
constexpr int kSeedOfC = 5;  // The seed that is cut off.

struct Instance {
  std::string name;
  std::string zone;
  std::uint32_t ip;
};

const Instance kFleet[kInstances] = {{"frontend-a-1", "zone-a", Ip(1, 0, 1)},
                                     {"frontend-a-2", "zone-a", Ip(1, 0, 2)},
                                     {"frontend-a-3", "zone-a", Ip(1, 0, 3)},
                                     {"frontend-b-1", "zone-b", Ip(1, 1, 1)},
                                     {"frontend-b-2", "zone-b", Ip(1, 1, 2)},
                                     {"frontend-c-1", "zone-c", Ip(1, 2, 1)},
                                     {"frontend-c-2", "zone-c", Ip(1, 2, 2)}};

struct Probe {
  double sent = 0;
  int instance = 0;
  bool to_new_route = false;
  int round = 0;
};

class Case {
 public:
  Case(const std::string& program, const std::string& folder,
       const std::string& record, bool trouble, std::string prefix)
      : record_(loop_, record),
        trouble_(trouble),
        prefix_(std::move(prefix)),
        packet_port_(FreePort()),
        edges_(program, folder) {}

  auto Run() -> int {
    StartPlatform();
    StartFleet();
    WaitReady();
    loop_.At(117500, [this] { Finish(); });
    loop_.Run();
    return result_;
  }

 private:
  void StartPlatform() {
    store_at_ = {Ip(9, 0, 1), FreePort()};
    store_ = std::make_unique<Store>(loop_, store_at_);
    for (auto index = 0; index < 6; ++index) {
      const auto at = Address{Ip(2, 0, index + 1), packet_port_};
      backends_at_.push_back(at);
      backends_.push_back(std::make_unique<UdpSocket>(
          loop_, at, [this, index](const std::string& text, const Address&) {
            ToBackend(index, text);
          }));
    }
    Write();
    Register();
    client_ = std::make_unique<UdpSocket>(
        loop_, Address{client_ip_, packet_port_},
        [this](const std::string& text, const Address& from) {
          ToClient(text, from);
        });
  }

  void StartFleet() {
    const auto http = FreePort();
    const auto relay = FreePort();
    const auto metrics = FreePort();
    const auto proxy = FreePort();
    const auto a = Address{kFleet[0].ip, relay};
    const auto b = Address{kFleet[3].ip, relay};
    const auto c = Address{kFleet[kSeedOfC].ip, relay};
    // The links of the seed of zone c that are cut: to the store, to the seeds
    // of the other zones, and from the machines there. Its links to and from
    // the machine of its own zone are none of these.
    const auto to_store = Address{Ip(5, 0, 1), proxy};
    const auto to_a = Address{Ip(5, 0, 2), proxy};
    const auto to_b = Address{Ip(5, 0, 3), proxy};
    const auto from_far = Address{Ip(5, 0, 4), proxy};
    for (const auto& [at, target] : {std::pair(to_store, store_at_),
                                     {to_a, a},
                                     {to_b, b},
                                     {from_far, c}}) {
      links_.push_back(std::make_unique<Proxy>(loop_, at, target));
    }
    for (auto index = 0; index < kInstances; ++index) {
      const auto& instance = kFleet[index];
      auto seeds = std::vector<Address>{a, b, from_far};
      if (index == kSeedOfC) {
        seeds = {to_a, to_b, c};
      } else if (instance.zone == "zone-c") {
        seeds = {a, b, c};
      }
      edges_.Start({prefix_ + instance.name,
                    instance.zone,
                    {instance.ip, http},
                    {instance.ip, packet_port_},
                    index == kSeedOfC ? to_store : store_at_,
                    {instance.ip, metrics},
                    {instance.ip, relay},
                    seeds});
      ready_.push_back({instance.ip, http});
    }
  }

  void WaitReady() {
    auto ready = std::size_t{0};
    for (const auto& http : ready_) {
      ready += IsReady(http) ? 1 : 0;
    }
    if (ready == ready_.size()) {
      record_.Line("all edge processes are ready");
      loop_.After(kStability + 500, [this] { StartRound(1); });
    } else if (loop_.Now() > 12000) {
      record_.Line("the edge processes did not become ready");
      loop_.Stop();
    } else {
      loop_.After(100, [this] { WaitReady(); });
    }
  }

  // Heartbeats renew the entries only: "The entry changes when more than
  // `sequence` changes."
  void Register() {
    for (auto index = std::size_t{0}; index < backends_at_.size(); ++index) {
      store_->Put("servers/i-" + Hex(IdOf(index)),
                  EntryOf("orders", backends_at_[index],
                          std::string("zone-") + "abc"[index % 3], "ready"));
    }
  }

  static auto IdOf(std::size_t index) -> std::uint64_t {
    return 0x7f3a9100U + 0x11U * index;
  }

  // The store has accepted a new version: one route is new, one is dropped.
  void Write() {
    ++round_;
    version_ += 3;
    auto routes = std::vector<RouteSpec>{
        {"orders", {Ip(8, 0, 1), 443}, "unsafe", "orders"},
        {"extra", RouteOf(round_), "unsafe", "orders"}};
    store_->Put("op/config", ConfigOf(version_, routes));
    acknowledged_ = loop_.Now();
    record_.Line("version " + std::to_string(version_) +
                 " acknowledged: new route " + Text(RouteOf(round_)) +
                 ", dropped route " + Text(RouteOf(round_ - 1)));
  }

  static auto RouteOf(int round) -> Address { return {Ip(8, 1, round), 8443}; }

  void StartRound(int number) {
    if (number > kRounds) {
      Finish();
      return;
    }
    const auto start = loop_.Now();
    record_.Line("round " + std::to_string(number));
    if (trouble_) {
      SetBusy(true);
      loop_.At(start + kBusyTime, [this] { SetBusy(false); });
      loop_.At(start + kCutAt, [this] { SetCut(true); });
      loop_.At(start + kCutAt + kCutTime, [this] { SetCut(false); });
    }
    loop_.At(start + kChangeAt, [this] { Write(); });
    const auto from = std::max(start + kBusyTime + kStability,
                               start + kChangeAt + kConfigApply) +
                      kMargin;
    for (auto at = from; at < start + kCutAt + kCutTime; at += kProbeInterval) {
      loop_.At(at, [this] { ProbeAll(); });
    }
    loop_.At(start + kRoundTime, [this, number] { StartRound(number + 1); });
  }

  void SetBusy(bool busy) {
    store_->SetBusy(busy);
    record_.Line(busy ? "the store is busy" : "the store is back");
  }

  void SetCut(bool cut) {
    for (const auto& link : links_) {
      link->SetCut(cut);
    }
    record_.Line(kFleet[kSeedOfC].name +
                 (cut ? " is cut off from the store and the other zones"
                      : " is connected again"));
  }

  // Flows sent directly to each instance, to the new and to the dropped route.
  void ProbeAll() {
    for (auto index = 0; index < kInstances; ++index) {
      if (index == kSeedOfC) {
        continue;  // Not in touch.
      }
      SendProbe({loop_.Now(), index, true, round_}, RouteOf(round_));
      SendProbe({loop_.Now(), index, false, round_}, RouteOf(round_ - 1));
    }
  }

  void SendProbe(const Probe& probe, const Address& route) {
    const auto port = next_port_++;
    probes_[port] = probe;
    auto packet = Packet();
    packet.flags = kSyn;
    packet.from = {client_ip_, port};
    packet.to = route;
    packet.seq = 1000003U * port;
    client_->Send(Encode(packet), {kFleet[probe.instance].ip, packet_port_});
    ++sent_;
    record_.Line("client sends the SYN of flow :" + std::to_string(port) +
                 " to " + Text(route) + " through " +
                 kFleet[probe.instance].name);
  }

  void ToBackend(int index, const std::string& text) {
    const auto packet = text.size() < 8 ? std::nullopt : Decode(text.substr(8));
    if (!packet || (packet->flags & kSyn) == 0) {
      return;
    }
    const auto found = probes_.find(packet->from.port);
    if (found != probes_.end()) {
      ++taken_;
      record_.Line("backend i-" + Hex(IdOf(static_cast<std::size_t>(index))) +
                   " takes flow :" + std::to_string(packet->from.port));
      const auto& probe = found->second;
      if (!probe.to_new_route) {
        Broken(probe, "a backend takes a flow of the dropped route");
      }
    }
    auto reply = Packet();
    reply.flags = kSyn | kAck;
    reply.from = packet->to;
    reply.to = packet->from;
    reply.seq = 77;
    reply.ack = packet->seq + 1;
    reply.echo = packet->echo;
    backends_[static_cast<std::size_t>(index)]->Send(
        Encode(reply), {client_ip_, packet_port_});
  }

  void ToClient(const std::string& text, const Address&) {
    const auto packet = Decode(text);
    const auto found = packet ? probes_.find(packet->to.port) : probes_.end();
    if (found == probes_.end()) {
      return;
    }
    if ((packet->flags & kRst) != 0 && found->second.to_new_route) {
      Note(found->second, "also seen: a flow of the new route is refused");
    }
    ++answered_;
    record_.Line(
        "client gets " +
        std::string((packet->flags & kRst) != 0 ? "a reset" : "a SYN+ACK") +
        " of flow :" + std::to_string(packet->to.port));
  }

  // Flows are judged by the opening packet that a backend takes.
  void Broken(const Probe& probe, const std::string& what) {
    broken_ = true;
    ++breaks_[probe.round];
    Note(probe, "BROKEN: CONFIG: " + what);
  }

  // The record shows the first ones of each round.
  void Note(const Probe& probe, const std::string& what) {
    if (++notes_[{probe.round, what}] > 2) {
      return;
    }
    record_.Line(what + " through " + kFleet[probe.instance].name +
                 "; sent at " + std::to_string(probe.sent) + " ms, " +
                 std::to_string(probe.sent - acknowledged_) +
                 " ms after the acknowledgement of version " +
                 std::to_string(version_));
  }

  void Finish() {
    const auto running = edges_.Running();
    record_.Line("probes sent " + std::to_string(sent_) +
                 ", taken by backends " + std::to_string(taken_) +
                 ", answered " + std::to_string(answered_) +
                 ", rounds with a break " + std::to_string(breaks_.size()));
    if (broken_) {
      result_ = kBroken;
    } else if (running && round_ == kRounds + 1 && taken_ > 0) {
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
  const std::string prefix_;
  const std::uint16_t packet_port_;
  const std::uint32_t client_ip_ = Ip(3, 0, 7);
  Address store_at_;
  std::unique_ptr<Store> store_;
  std::vector<Address> backends_at_;
  std::vector<std::unique_ptr<UdpSocket>> backends_;
  std::unique_ptr<UdpSocket> client_;
  std::vector<std::unique_ptr<Proxy>> links_;
  std::vector<Address> ready_;
  std::map<std::uint16_t, Probe> probes_;
  std::map<int, int> breaks_;
  std::map<std::pair<int, std::string>, int> notes_;
  std::uint16_t next_port_ = 1024;
  int round_ = 0;
  int version_ = 1;
  double acknowledged_ = 0;
  bool broken_ = false;
  int sent_ = 0;
  int taken_ = 0;
  int answered_ = 0;
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
                        argv[5])
        .Run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
    return review::kNotRun;
  }
}
