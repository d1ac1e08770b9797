#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>

#include "net.h"

namespace review {

namespace {

constexpr Seconds kProbeInterval = 0.5;
constexpr Seconds kProbeTimeout = 0.45;
constexpr Seconds kRestartDelay = 0.3;
constexpr Seconds kGrace = 6.0;  // graceS

auto Hash(std::uint64_t value) -> std::uint64_t {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

void Replace(std::string& text, const std::string& name,
             const std::string& value) {
  const auto placeholder = "{{" + name + "}}";
  for (auto at = text.find(placeholder); at != std::string::npos;
       at = text.find(placeholder, at + value.size())) {
    text.replace(at, placeholder.size(), value);
  }
}

}  // namespace

Fleet::Fleet(Loop& loop, FleetSettings settings)
    : loop_(loop), settings_(std::move(settings)) {}

Fleet::~Fleet() { EndAll(); }

void Fleet::Add(const std::string& name, const std::string& zone, Ip ip,
                const Address& store) {
  auto machine = std::make_unique<Machine>();
  machine->name = name;
  machine->zone = zone;
  machine->ip = ip;
  machine->store = store;
  machines_.push_back(std::move(machine));
}

void Fleet::Start() {
  for (const auto& machine : machines_) {
    WriteSettings(*machine);
    StartProcess(*machine);
  }
  constexpr auto kCheckInterval = 0.02;
  loop_.Every(kCheckInterval, [this] { CheckEnded(); });
  for (auto index = std::size_t{0}; index < machines_.size(); ++index) {
    // The probes of different machines come at different moments.
    const auto offset = kProbeInterval * static_cast<double>(index) /
                        static_cast<double>(machines_.size());
    loop_.After(offset, [this, index] {
      Probe(*machines_[index]);
      loop_.Every(kProbeInterval, [this, index] { Probe(*machines_[index]); });
    });
  }
}

void Fleet::WriteSettings(const Machine& machine) const {
  auto input = std::ifstream(settings_.settings);
  auto stream = std::stringstream();
  stream << input.rdbuf();
  auto text = stream.str();
  if (text.empty()) {
    CannotRun("cannot read " + settings_.settings);
  }
  auto seeds = std::string();
  for (const auto seed : settings_.seeds) {
    seeds += (seeds.empty() ? "" : ",") +
             ToText(Address{machines_[seed]->ip, kControlPort});
  }
  Replace(text, "nodeName", machine.name);
  Replace(text, "zone", machine.zone);
  Replace(text, "ip", ToText(machine.ip));
  Replace(text, "listen.ready", ToText(Address{machine.ip, kReadyPort}));
  Replace(text, "listen.datagramAddress",
          ToText(Address{machine.ip, kDatagramPort}));
  Replace(text, "listen.control", ToText(Address{machine.ip, kControlPort}));
  Replace(text, "platform.address", ToText(machine.store));
  Replace(text, "seeds", seeds);
  Replace(text, "limits.cpuShare", "0.055");
  Replace(text, "limits.linkMbps", "1000.0");
  if (text.find("{{") != std::string::npos) {
    CannotRun("the settings template has a field that is not known here");
  }
  std::ofstream(settings_.folder + "/" + machine.name + ".yaml") << text;
}

void Fleet::StartProcess(Machine& machine) {
  const auto file = settings_.folder + "/" + machine.name + ".yaml";
  const auto log = settings_.folder + "/" + machine.name + ".log";
  auto words =
      std::array<std::string, 4>{settings_.program, "edge", "--settings", file};
  auto arguments = std::array<char*, 5>{words[0].data(), words[1].data(),
                                        words[2].data(), words[3].data()};
  const auto id = fork();
  if (id == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    constexpr auto kMode = 0600;
    const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, kMode);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(127);
  }
  if (id < 0) {
    CannotRun("cannot start a process");
  }
  machine.process = id;
  machine.started = loop_.Now();
  machine.told_to_end = false;
}

void Fleet::Stop(std::size_t machine) {
  auto& stopped = *machines_[machine];
  if (stopped.process < 0 || stopped.told_to_end) {
    return;
  }
  stopped.told_to_end = true;
  kill(stopped.process, SIGTERM);
  loop_.After(kGrace, [&stopped, id = stopped.process] {
    if (stopped.process == id) {
      kill(id, SIGKILL);
    }
  });
}

void Fleet::Freeze(std::size_t machine, Seconds time) {
  const auto& frozen = *machines_[machine];
  const auto id = frozen.process;
  kill(id, SIGSTOP);
  loop_.After(time, [&frozen, id] {
    if (frozen.process == id) {
      kill(id, SIGCONT);
    }
  });
}

void Fleet::CheckEnded() {
  for (const auto& machine : machines_) {
    if (machine->process < 0 ||
        waitpid(machine->process, nullptr, WNOHANG) != machine->process) {
      continue;
    }
    machine->process = -1;
    unexpected_ends_ += machine->told_to_end ? 0 : 1;
    loop_.After(kRestartDelay, [this, machine = machine.get()] {
      if (!is_ending_) {
        StartProcess(*machine);
      }
    });
  }
}

void Fleet::EndAll() {
  is_ending_ = true;
  for (const auto& machine : machines_) {
    if (machine->process >= 0) {
      kill(machine->process, SIGKILL);
      waitpid(machine->process, nullptr, 0);
      machine->process = -1;
    }
  }
}

// Sends GET to the machine's readiness address; a probe counts as missed
// unless it is answered with 200 in time.
void Fleet::Probe(Machine& machine) {
  struct State {
    int fd = -1;
    bool answered = false;
  };
  const auto state = std::make_shared<State>();
  state->fd = ConnectTcp({machine.ip, kReadyPort});
  loop_.OnWritable(state->fd, [this, state] {
    constexpr auto kRequest = std::string_view(
        "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
    send(state->fd, kRequest.data(), kRequest.size(), MSG_NOSIGNAL);
    loop_.OnReadable(state->fd, [this, state] {
      auto buffer = std::array<char, 512>();
      const auto size = recv(state->fd, buffer.data(), buffer.size(), 0);
      const auto text =
          size > 0
              ? std::string_view(buffer.data(), static_cast<std::size_t>(size))
              : std::string_view();
      state->answered =
          state->answered || text.find(" 200 ") != std::string_view::npos;
      loop_.Forget(state->fd);
    });
  });
  loop_.After(kProbeTimeout, [this, state, &machine] {
    loop_.Forget(state->fd);
    close(state->fd);
    machine.probes_missed = state->answered ? 0 : machine.probes_missed + 1;
  });
}

// Routers hash by `steady`: the machine with the highest score of those in
// rotation in the client's zone.
auto Fleet::Route(const FlowId& flow, const std::string& zone) const
    -> std::optional<std::size_t> {
  auto all = std::size_t{0};
  auto ready = std::size_t{0};
  auto elsewhere = std::size_t{0};
  for (const auto& machine : machines_) {
    const auto is_here = machine->zone == zone;
    all += is_here ? 1 : 0;
    ready += is_here && machine->in_rotation() ? 1 : 0;
    elsewhere += !is_here && machine->in_rotation() ? 1 : 0;
  }
  const auto leaves_zone = ready == 0 && elsewhere > 0;
  const auto needs_ready = leaves_zone || 2 * ready >= all;
  const auto key =
      Hash(Hash((std::uint64_t{flow.client.ip} << 16) + flow.client.port) ^
           ((std::uint64_t{flow.route.ip} << 16) + flow.route.port));
  auto best = std::optional<std::size_t>();
  auto best_score = std::uint64_t{0};
  for (auto index = std::size_t{0}; index < machines_.size(); ++index) {
    const auto& machine = *machines_[index];
    const auto score = Hash(key ^ machine.ip);
    if ((leaves_zone || machine.zone == zone) &&
        (!needs_ready || machine.in_rotation()) &&
        (!best || score > best_score)) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

auto Fleet::AllInRotation() const -> bool {
  for (const auto& machine : machines_) {
    if (!machine->in_rotation()) {
      return false;
    }
  }
  return true;
}

auto Fleet::Find(Ip ip) const -> std::optional<std::size_t> {
  for (auto index = std::size_t{0}; index < machines_.size(); ++index) {
    if (machines_[index]->ip == ip) {
      return index;
    }
  }
  return std::nullopt;
}

}  // namespace review
