// The machines of the system, each a process of the deploy file, and the
// platform's routers in front of them (PROTOCOL.md, Ingress; DEPLOY.md).
#ifndef REVIEW_STAND_IN_3_FLEET_H_
#define REVIEW_STAND_IN_3_FLEET_H_

#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <sstream>

#include "loop.h"
#include "record.h"

namespace review {

struct Ports {
  std::uint16_t packet = 0;
  std::uint16_t ready = 0;
  std::uint16_t control = 0;
  std::uint16_t store = 0;
};

class Fleet {
 public:
  struct Node {
    std::string name;
    std::uint32_t ip = 0;
    pid_t process = 0;
    bool in_rotation = false;
    int misses = 0;
    std::int64_t calm_since = 0;
  };

  Fleet(Loop& loop, Record& record, std::string folder, const Ports& ports)
      : loop_(loop),
        record_(record),
        folder_(std::move(folder)),
        ports_(ports) {}

  ~Fleet() {
    for (auto& node : nodes_) {
      if (node.process > 0) {
        kill(node.process, SIGCONT);
        kill(node.process, SIGKILL);
        waitpid(node.process, nullptr, 0);
      }
    }
  }
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  // Starts that many machines in one zone. The first three are the seeds.
  void Start(std::size_t count, const std::string& zone, std::uint32_t first_ip,
             std::uint32_t store_ip) {
    for (auto index = std::size_t{0}; index < count; ++index) {
      auto node = Node();
      node.name = "frontend-" + zone + "-" + std::to_string(index + 1);
      node.ip = first_ip + static_cast<std::uint32_t>(index);
      nodes_.push_back(node);
    }
    for (auto& node : nodes_) {
      WriteSettings(node, zone, store_ip);
      StartProcess(node);
    }
    Probe();
  }

  [[nodiscard]] auto nodes() -> std::vector<Node>& { return nodes_; }

  [[nodiscard]] auto Ready() const -> std::size_t {
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes_, [](const Node& node) { return node.in_rotation; }));
  }

  void Signal(Node& node, int signal, const std::string& text) {
    record_.Line(text + " " + node.name);
    node.calm_since = loop_.Now();
    kill(node.process, signal);
  }

  // SIGTERM, then SIGKILL after `grace`; starts again a moment later.
  void Roll(Node& node, std::int64_t grace) {
    Signal(node, SIGTERM, "planned: SIGTERM for");
    const auto process = node.process;
    loop_.After(grace, [this, process, &node] {
      if (node.process == process && process > 0) {
        kill(process, SIGKILL);
      }
    });
  }

  // Starts processes again that have ended.
  void Reap() {
    for (auto& node : nodes_) {
      if (node.process > 0 &&
          waitpid(node.process, nullptr, WNOHANG) == node.process) {
        record_.Line("ended: " + node.name);
        node.process = 0;
        loop_.After(300, [this, &node] { StartProcess(node); });
      }
    }
  }

  // The node to which the routers forward a packet, by the `steady` hash.
  auto Route(const Address& src, const Address& dst) -> Node* {
    auto usable = std::vector<Node*>();
    for (auto& node : nodes_) {
      if (node.in_rotation) {
        usable.push_back(&node);
      }
    }
    if (2 * usable.size() < nodes_.size()) {
      // Fewer than half: all of the zone's nodes.
      usable.clear();
      for (auto& node : nodes_) {
        usable.push_back(&node);
      }
    }
    const auto flow = Mix(std::uint64_t{src.ip} << 16 | src.port,
                          std::uint64_t{dst.ip} << 16 | dst.port);
    return *std::ranges::max_element(
        usable, {}, [flow](const Node* node) { return Mix(flow, node->ip); });
  }

 private:
  void WriteSettings(const Node& node, const std::string& zone,
                     std::uint32_t store_ip) {
    const auto at = [this](std::uint32_t ip, std::uint16_t port) {
      return Text(Address{ip, port});
    };
    auto seeds = std::string();
    for (auto index = std::size_t{0}; index < 3 && index < nodes_.size();
         ++index) {
      seeds +=
          (seeds.empty() ? "" : ",") + at(nodes_[index].ip, ports_.control);
    }
    const auto values = std::map<std::string, std::string>{
        {"nodeName", node.name},
        {"zone", zone},
        {"ip", IpText(node.ip)},
        {"listen.ready", at(node.ip, ports_.ready)},
        {"listen.datagramAddress", at(node.ip, ports_.packet)},
        {"listen.control", at(node.ip, ports_.control)},
        {"platform.address", at(store_ip, ports_.store)},
        {"seeds", seeds},
        {"limits.cpuShare", "0.25"},
        {"limits.linkMbps", "1000.0"},
        {"contracts", "base,drain,config,cost,recover,flows,platform"}};
    auto file = std::ifstream("platform/edge_settings.yaml.in");
    auto text = std::stringstream();
    text << file.rdbuf();
    auto filled = std::string();
    auto rest = text.str();
    for (auto open = rest.find("{{"); open != std::string::npos;
         open = rest.find("{{")) {
      const auto close = rest.find("}}", open);
      const auto found = values.find(rest.substr(open + 2, close - open - 2));
      filled += rest.substr(0, open);
      filled += found == values.end() ? "" : found->second;
      rest.erase(0, close + 2);
    }
    std::ofstream(SettingsOf(node)) << filled << rest;
  }

  [[nodiscard]] auto SettingsOf(const Node& node) const -> std::string {
    return folder_ + "/" + node.name + ".yaml";
  }

  void StartProcess(Node& node) {
    const auto settings = SettingsOf(node);
    const auto log = folder_ + "/" + node.name + ".log";
    const auto process = fork();
    if (process == 0) {
      // Ends with this program, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const auto output =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(output, 1);
      dup2(output, 2);
      setenv("HEMLOCKWICK_BOOT", settings.c_str(), 1);
      execl("target/hemlockwick", "target/hemlockwick", "edge", "--settings",
            settings.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
    node.process = process;
    node.calm_since = loop_.Now();
    record_.Line("started: " + node.name);
  }

  // Each node twice a second; one without an answer within that time has
  // missed.
  void Probe() {
    Reap();
    for (auto& node : nodes_) {
      ProbeNode(node);
    }
    loop_.After(500, [this] { Probe(); });
  }

  void ProbeNode(Node& node) {
    const auto socket =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto remote = ToSockaddr({node.ip, ports_.ready});
    connect(socket, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
    const auto request = std::string(
        "GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
    const auto answered = std::make_shared<bool>(false);
    // On loopback the connection stands at once, or is refused.
    if (send(socket, request.data(), request.size(), MSG_NOSIGNAL) > 0) {
      loop_.OnReadable(socket, [this, socket, answered, &node] {
        char buffer[256];
        const auto size = read(socket, buffer, sizeof(buffer));
        loop_.Forget(socket);
        const auto text = std::string(
            buffer, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
        *answered = text.starts_with("HTTP/1.1 200");
        if (*answered) {
          Rotate(node, true);
        }
      });
    }
    loop_.After(450, [this, socket, answered, &node] {
      loop_.Forget(socket);
      close(socket);
      if (!*answered) {
        Rotate(node, false);
      }
    });
  }

  void Rotate(Node& node, bool answered) {
    node.misses = answered ? 0 : node.misses + 1;
    const auto rotates = answered || (node.in_rotation && node.misses < 2);
    if (rotates != node.in_rotation) {
      node.in_rotation = rotates;
      record_.Line((rotates ? "in rotation: " : "out of rotation: ") +
                   node.name);
    }
  }

  Loop& loop_;
  Record& record_;
  const std::string folder_;
  const Ports ports_;
  std::vector<Node> nodes_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_FLEET_H_
