// The parts that all cases share: the record, the edge processes, the packets
// and the entries that backends and the operator write.
#ifndef REVIEW_STAND_IN_2_WORLD_H_
#define REVIEW_STAND_IN_2_WORLD_H_

#include <sys/prctl.h>
#include <sys/stat.h>

#include <fstream>
#include <optional>

#include "store.h"

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

class Record {
 public:
  Record(Loop& loop, const std::string& file)
      : loop_(loop), out_(std::fopen(file.c_str(), "w")) {
    if (out_ == nullptr) {
      throw std::runtime_error("cannot write " + file);
    }
  }
  ~Record() { std::fclose(out_); }
  Record(const Record&) = delete;
  auto operator=(const Record&) -> Record& = delete;

  void Line(const std::string& text) {
    std::fprintf(out_, "%10.1f ms  %s\n", loop_.Now(), text.c_str());
    std::fflush(out_);
  }

 private:
  Loop& loop_;
  std::FILE* const out_;
};

struct Packet {
  std::uint8_t flags = 0;
  Address from;
  Address to;
  std::uint32_t sum = 1;
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t echo = 0;
  std::string data;
};

constexpr std::uint8_t kSyn = 128;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 32;
constexpr std::uint8_t kRst = 2;
constexpr std::size_t kHead = 34;

// The sum is keyed on the platform and unknown to the system; here it is a
// plain sum that shows a change of a field.
inline auto SumOf(const Packet& packet) -> std::uint32_t {
  auto sum = std::uint32_t{17};
  for (const auto word :
       {std::uint32_t{packet.flags}, packet.from.ip, packet.to.ip,
        std::uint32_t{packet.from.port}, std::uint32_t{packet.to.port},
        packet.seq, packet.ack}) {
    sum = sum * 16777619U + word;
  }
  for (const auto byte : packet.data) {
    sum = sum * 16777619U + static_cast<unsigned char>(byte);
  }
  return sum == 0 ? 1 : sum;
}

inline auto Encode(const Packet& packet) -> std::string {
  auto text = std::string();
  const auto put = [&text](std::uint32_t value, int bytes) {
    for (auto at = 0; at < bytes; ++at) {
      text += static_cast<char>(value >> (8 * at));
    }
  };
  put(SumOf(packet), 4);
  put(packet.flags, 1);
  put(0, 3);
  put(packet.to.port, 2);
  put(packet.from.ip, 4);
  put(packet.from.port, 2);
  put(packet.to.ip, 4);
  put(static_cast<std::uint32_t>(packet.data.size()), 2);
  put(packet.seq, 4);
  put(packet.ack, 4);
  put(packet.echo, 4);
  return text + packet.data;
}

inline auto Decode(const std::string& text) -> std::optional<Packet> {
  if (text.size() < kHead) {
    return std::nullopt;
  }
  auto at = std::size_t{0};
  const auto take = [&text, &at](int bytes) {
    auto value = std::uint32_t{0};
    for (auto index = 0; index < bytes; ++index) {
      value |=
          static_cast<std::uint32_t>(static_cast<unsigned char>(text[at++]))
          << (8 * index);
    }
    return value;
  };
  auto packet = Packet();
  packet.sum = take(4);
  packet.flags = static_cast<std::uint8_t>(take(1));
  take(3);
  packet.to.port = static_cast<std::uint16_t>(take(2));
  packet.from.ip = take(4);
  packet.from.port = static_cast<std::uint16_t>(take(2));
  packet.to.ip = take(4);
  const auto size = take(2);
  packet.seq = take(4);
  packet.ack = take(4);
  packet.echo = take(4);
  packet.data = text.substr(kHead);
  return packet.data.size() == size ? std::optional(packet) : std::nullopt;
}

class UdpSocket {
 public:
  using OnDatagram = std::function<void(const std::string&, const Address&)>;

  UdpSocket(Loop& loop, const Address& at, OnDatagram on_datagram)
      : loop_(loop), fd_(Bind(SOCK_DGRAM, at)) {
    loop_.OnReadable(fd_, [this, on_datagram = std::move(on_datagram)] {
      char bytes[2048];
      auto from = sockaddr_in{};
      auto length = socklen_t{sizeof(from)};
      for (;;) {
        const auto size = recvfrom(fd_, bytes, sizeof(bytes), 0,
                                   reinterpret_cast<sockaddr*>(&from), &length);
        if (size < 0) {
          return;
        }
        on_datagram(std::string(bytes, static_cast<std::size_t>(size)),
                    {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
      }
    });
  }
  ~UdpSocket() {
    loop_.Forget(fd_);
    close(fd_);
  }
  UdpSocket(const UdpSocket&) = delete;
  auto operator=(const UdpSocket&) -> UdpSocket& = delete;

  void Send(const std::string& text, const Address& to) const {
    const auto at = ToSockaddr(to);
    sendto(fd_, text.data(), text.size(), 0,
           reinterpret_cast<const sockaddr*>(&at), sizeof(at));
  }

 private:
  Loop& loop_;
  const int fd_;
};

// The settings of one edge process, in the layout of
// platform/edge_settings.yaml.in.
struct EdgeSettings {
  std::string name;
  std::string zone;
  Address http;
  Address packet;
  Address platform;
  Address metrics;
  Address relay;
  std::vector<Address> seeds;
};

// Edge processes, started with the command of deploy/system.toml. Ends them
// when it goes.
class Edges {
 public:
  Edges(std::string program, std::string folder)
      : program_(std::move(program)), folder_(std::move(folder)) {}
  ~Edges() {
    for (const auto pid : pids_) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }
  Edges(const Edges&) = delete;
  auto operator=(const Edges&) -> Edges& = delete;

  void Start(const EdgeSettings& settings) {
    pids_.push_back(Launch(settings));
  }

  void Stop(std::size_t index) { kill(pids_[index], SIGTERM); }

  // Whether the process, told to stop, has ended; once.
  auto HasEnded(std::size_t index) -> bool {
    return waitpid(pids_[index], nullptr, WNOHANG) == pids_[index];
  }

  void StartAgain(std::size_t index, const EdgeSettings& settings) {
    pids_[index] = Launch(settings);
  }

  // Whether all processes still run.
  [[nodiscard]] auto Running() const -> bool {
    for (const auto pid : pids_) {
      if (waitpid(pid, nullptr, WNOHANG) != 0) {
        return false;
      }
    }
    return true;
  }

 private:
  [[nodiscard]] auto Launch(const EdgeSettings& settings) const -> pid_t {
    const auto file = folder_ + "/" + settings.name + ".yaml";
    auto seeds = std::string();
    for (const auto& seed : settings.seeds) {
      seeds += (seeds.empty() ? "" : ",") + Text(seed);
    }
    std::ofstream(file) << "name: " << settings.name
                        << "\ndata_centre: " << settings.zone
                        << "\nhttp: " << Text(settings.http)
                        << "\npacket: " << Text(settings.packet)
                        << "\nplatform: " << Text(settings.platform)
                        << "\nmetrics: " << Text(settings.metrics)
                        << "\nrelay: " << Text(settings.relay) << "\nseeds: ["
                        << seeds
                        << "]\nleave_grace: 1500ms\ndrain_deadline: 4500ms\n"
                           "processor_cores: 0.055\nlink_mbps: 1000.0\n"
                           "terms: "
                           "[base,drain,config,cost,recover,flows,platform]\n"
                           "cold_overage: \ncold_slack: \n";
    const auto log = folder_ + "/" + settings.name + ".log";
    const auto pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // No process outlives the case.
      const auto out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execl(program_.c_str(), program_.c_str(), "edge", "--settings",
            file.c_str(), nullptr);
      _exit(127);
    }
    return pid;
  }

  const std::string program_;
  const std::string folder_;
  std::vector<pid_t> pids_;
};

// Whether GET /readyz at the address is answered with 200.
inline auto IsReady(const Address& http) -> bool {
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  const auto at = ToSockaddr(http);
  auto text = std::string();
  if (connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0) {
    const auto wait = timeval{0, 200000};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
    const auto call = std::string("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
    send(fd, call.data(), call.size(), MSG_NOSIGNAL);
    char bytes[256];
    const auto size = recv(fd, bytes, sizeof(bytes), 0);
    text.assign(bytes, size > 0 ? static_cast<std::size_t>(size) : 0);
  }
  close(fd);
  return text.rfind("HTTP/1.1 200", 0) == 0;
}

inline auto Hex(std::uint64_t number) -> std::string {
  char text[20];
  std::snprintf(text, sizeof(text), "%llx",
                static_cast<unsigned long long>(number));
  return text;
}

inline auto EntryOf(const std::string& service, const Address& address,
                    const std::string& zone, const std::string& state)
    -> std::string {
  return "{\"service\":\"" + service + "\",\"address\":\"" + Text(address) +
         "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":3,\"state\":\"" + state +
         "\",\"coldRemainingMs\":0,\"sequence\":1}";
}

struct RouteSpec {
  std::string name;
  Address address;
  std::string kind;
  std::string service;
};

inline auto ConfigOf(int version, const std::vector<RouteSpec>& routes)
    -> std::string {
  auto list = std::string();
  for (const auto& route : routes) {
    list += (list.empty() ? "" : ",") + std::string("{\"name\":\"") +
            route.name + "\",\"host\":\"" + IpText(route.address.ip) +
            "\",\"prefix\":\"/" + std::to_string(route.address.port) +
            "/\",\"kind\":\"" + route.kind +
            "\",\"timeoutMs\":1500,\"targetLatencyMs\":250,\"priority\":1,"
            "\"service\":\"" +
            route.service + "\",\"maxAttempts\":2}";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
         "],\"services\":[{\"name\":\"orders\",\"healthCheckPath\":\"/health\","
         "\"maxConnections\":2000,\"protocol\":\"h1\",\"tls\":false}],"
         "\"limits\":{\"idleTimeoutMs\":15000}}";
}

}  // namespace review

#endif  // REVIEW_STAND_IN_2_WORLD_H_
