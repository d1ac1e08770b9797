#ifndef HEMLOCKWICK_REVIEW_FLEET_H_
#define HEMLOCKWICK_REVIEW_FLEET_H_

#include <sys/types.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "loop.h"
#include "packet.h"

namespace review {

// Ports of the listen addresses, the same on all machines.
inline constexpr std::uint16_t kDatagramPort = 8172;
inline constexpr std::uint16_t kReadyPort = 8167;
inline constexpr std::uint16_t kControlPort = 8166;
inline constexpr std::uint16_t kStorePort = 8169;
inline constexpr std::uint16_t kMetricsPort = 9464;

// A machine of the system with its process.
struct Machine {
  std::string name;
  std::string zone;
  Ip ip = 0;
  Address store;  // Where it reaches the platform's store.
  pid_t process = -1;
  Seconds started = 0;
  bool told_to_end = false;
  int probes_missed = 2;

  [[nodiscard]] auto in_rotation() const -> bool { return probes_missed < 2; }
};

struct FleetSettings {
  std::string program;             // target/hemlockwick
  std::string folder;              // For settings and logs.
  std::string settings;            // The template platform/settings.yaml.in.
  std::vector<std::size_t> seeds;  // Machines that the settings name as seeds.
};

// The machines of the system, the platform that starts them, and the routers
// before them (PROTOCOL.md, Ingress).
class Fleet {
 public:
  Fleet(Loop& loop, FleetSettings settings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  auto operator=(const Fleet&) -> Fleet& = delete;

  void Add(const std::string& name, const std::string& zone, Ip ip,
           const Address& store);

  // Starts all processes and the probes of the routers.
  void Start();

  // Sends SIGTERM, and SIGKILL after graceS. The process is started again when
  // it has ended.
  void Stop(std::size_t machine);

  // Stops the process for a while.
  void Freeze(std::size_t machine, Seconds time);

  // The machine that the routers give a packet of the flow to; empty when
  // there is none.
  [[nodiscard]] auto Route(const FlowId& flow, const std::string& zone) const
      -> std::optional<std::size_t>;

  [[nodiscard]] auto at(std::size_t machine) const -> const Machine& {
    return *machines_[machine];
  }
  [[nodiscard]] auto size() const -> std::size_t { return machines_.size(); }
  [[nodiscard]] auto AllInRotation() const -> bool;
  [[nodiscard]] auto Find(Ip ip) const -> std::optional<std::size_t>;

  // Processes that ended without having been told to.
  [[nodiscard]] auto unexpected_ends() const -> int { return unexpected_ends_; }

  void EndAll();

 private:
  void WriteSettings(const Machine& machine) const;
  void StartProcess(Machine& machine);
  void CheckEnded();
  void Probe(Machine& machine);

  Loop& loop_;
  const FleetSettings settings_;
  std::vector<std::unique_ptr<Machine>> machines_;
  int unexpected_ends_ = 0;
  bool is_ending_ = false;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_FLEET_H_
