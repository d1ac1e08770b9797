#ifndef HEMLOCKWICK_REVIEW_WORLD_H_
#define HEMLOCKWICK_REVIEW_WORLD_H_

#include <cstdint>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "backend.h"
#include "client.h"
#include "fleet.h"
#include "loop.h"
#include "store.h"

namespace review {

// Figures of the site and its pages.
inline constexpr Seconds kStabilityWindow = 4.0;
inline constexpr Seconds kConfigApply = 3.0;
inline constexpr Seconds kReorderWindow = 2.0;

struct WorldSettings {
  std::string folder;  // Temporary; for settings and logs.
  std::string record;  // The file record.txt.
  bool trouble = true;
  std::uint64_t seed = 1;
};

// Reads RECORD, FOLDER, TROUBLE and SEED from the environment.
[[nodiscard]] auto SettingsFromEnvironment() -> WorldSettings;

// What the backends have seen of a flow.
struct FlowHistory {
  struct Arrival {
    Seconds at = 0;
    std::uint64_t backend = 0;
    Ip machine = 0;
    bool syn = false;
  };
  std::optional<std::uint64_t> owner;  // The backend where it is open.
  Seconds opened = 0;
  std::optional<Seconds> closed;
  std::vector<Arrival> arrivals;
};

// A small deployment: seven machines in three zones, the platform's store,
// backends of one service, and clients. Judges the rule FLOW.
class World {
 public:
  explicit World(WorldSettings settings);

  // Adds the machines, as on the site kauri-roll: three, two and two.
  // `seeds` are the machines that their settings name.
  void AddMachines(const std::vector<std::size_t>& seeds);
  // The `maxConnections` of the service; to be set before AddBackends.
  void set_max_connections(std::size_t flows) { max_connections_ = flows; }
  // Adds `per_zone` backends of the service "rollfloor" in each zone, with
  // their entries in the store.
  void AddBackends(std::size_t per_zone);
  // Adds `per_zone` client addresses in each zone.
  void AddClients(std::size_t per_zone);

  // Runs until all machines are in rotation; ends the run with exit code 2 when
  // that takes too long.
  void Start();

  // Cuts a machine off from the store for a while (core_cut).
  void CutFromStore(std::size_t machine, Seconds time);
  // Stops a machine with SIGTERM; it is started again (roll_term).
  void StopMachine(std::size_t machine);

  // Makes a backend slow for a while (srv_slow).
  void SlowBackend(std::size_t backend, double factor, Seconds time);

  // Writes a configuration with one route for each address; returns its
  // version. The store acknowledges it at once.
  auto Publish(const std::vector<Address>& routes, const std::string& kind)
      -> std::uint64_t;

  // Address of a route.
  [[nodiscard]] auto RouteAddress(std::size_t number) const -> Address;

  // Writes the totals and returns the exit code.
  auto Finish() -> int;

  auto loop() -> Loop& { return loop_; }
  auto store() -> Store& { return store_; }
  auto fleet() -> Fleet& { return *fleet_; }
  auto random() -> std::mt19937_64& { return random_; }
  [[nodiscard]] auto trouble() const -> bool { return settings_.trouble; }
  [[nodiscard]] auto clients() const -> std::size_t { return hosts_.size(); }
  [[nodiscard]] auto host(std::size_t index) -> ClientHost& {
    return *hosts_[index];
  }
  [[nodiscard]] auto ip_of_client(std::size_t index) const -> Ip {
    return Address4(2, index);
  }
  [[nodiscard]] auto backends() const -> std::size_t {
    return backends_.size();
  }
  [[nodiscard]] auto zone_of_client(std::size_t index) const -> std::string;

  // Opens a flow from a client.
  void Open(std::size_t client, FlowPlan plan,
            std::function<void(FlowEnd)> then);

  // Share of datagrams from backends that are lost on the clients' links.
  void set_loss(double share) { loss_ = share; }

  void Note(const std::string& text);
  void Count(const std::string& name) { ++counts_[name]; }

 private:
  [[nodiscard]] auto Address4(std::uint32_t group, std::size_t number) const
      -> Ip;
  void MakeEvents();
  void OnReset(const FlowId& flow, Ip machine, std::uint32_t seq,
               std::uint32_t last_ack, const std::string& waiting);
  [[nodiscard]] auto IsCalm(std::uint64_t backend) const -> bool;
  [[nodiscard]] auto IsInTouch(std::size_t machine) const -> bool;
  void JudgeArrivals();
  void Break(const std::string& text);

  const WorldSettings settings_;
  Loop loop_;
  std::mt19937_64 random_;
  std::ofstream record_;
  std::uint32_t network_ = 0;
  Store store_;
  std::unique_ptr<Fleet> fleet_;
  BackendEvents backend_events_;
  ClientEvents client_events_;
  std::vector<std::unique_ptr<Backend>> backends_;
  std::vector<std::unique_ptr<ClientHost>> hosts_;
  std::vector<std::string> host_zones_;
  std::map<FlowId, FlowHistory> flows_;
  std::map<std::string, int> runs_;
  std::map<std::string, std::uint64_t> counts_;
  std::vector<std::string> broken_;
  std::uint64_t version_ = 0;
  double loss_ = 0;
  std::size_t max_connections_ = 2000;
  // End of the last disruption of each machine, and of each backend by its id.
  std::map<std::size_t, Seconds> disturbed_until_;
  std::map<std::uint64_t, Seconds> backend_disturbed_until_;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_WORLD_H_
