#ifndef HEMLOCKWICK_SOAK_EDGES_H_
#define HEMLOCKWICK_SOAK_EDGES_H_

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "Core/error.h"
#include "Edge/http_connection.h"
#include "Soak/fault_proxy.h"
#include "Soak/world.h"
#include "StandIn/instance_process.h"

namespace hemlockwick::soak {

struct EdgeSettings {
  std::string program;
  std::filesystem::path folder;  // For settings and logs.
  std::size_t instances = 7;
  SocketAddress store;
};

// An edge process under test, with the proxies on its TCP connections.
struct Edge {
  Ipv4Address ip;
  std::string zone;
  std::unique_ptr<InstanceProcess> process;
  std::unique_ptr<FaultProxy> store;                // To the store.
  std::vector<std::unique_ptr<FaultProxy>> relays;  // To the seeds.
  std::unique_ptr<HttpConnection> probe;
  int missed_probes = 2;
  bool probing = false;
  int life = 0;          // Counts its processes.
  bool may_end = false;  // A signal has told it to.
  bool was_killed = false;
  bool paused = false;
  double loss = 0;  // Of packets to and from it.
  Calm calm;

  [[nodiscard]] auto in_rotation() const -> bool { return missed_probes < 2; }
};

// The edge processes, and the platform's routers before them.
class Edges {
 public:
  // The first instances are seeds.
  static constexpr std::size_t kSeeds = 3;

  // Starts all processes. Fails with kInternal.
  [[nodiscard]] static auto Start(World& world, const EdgeSettings& settings)
      -> Result<std::unique_ptr<Edges>>;

  [[nodiscard]] auto size() const -> std::size_t { return edges_.size(); }
  [[nodiscard]] auto at(std::size_t index) -> Edge& { return *edges_[index]; }
  [[nodiscard]] auto Find(Ipv4Address ip) -> Edge*;

  // The instance that the routers give a flow's packet to.
  [[nodiscard]] auto Route(const SocketAddress& caller,
                           const SocketAddress& service,
                           const std::string& zone) const -> SocketAddress;

  // Sends a signal that ends the process, SIGTERM as soon as it can be told; it
  // is started again when it has ended.
  void End(std::size_t index, int signal);

  // Tells the process to read its settings again, as soon as it can be told.
  void Reload(std::size_t index);

  // Stops the process and lets it go on after `time`.
  void Pause(std::size_t index, Duration time);

  // Writes the settings file, with `level` as its log level.
  void WriteSettings(std::size_t index, const std::string& level) const;

  [[nodiscard]] auto AllReady() const -> bool;

  // Looks for ended processes and probes readiness; call it again and again.
  void Watch();

  // Lets Watch do nothing from now on.
  void Stop() { stopped_ = true; }

 private:
  Edges(World& world, EdgeSettings settings);
  void Connect();
  [[nodiscard]] auto StartProcess(std::size_t index) -> Result<void>;
  void Restart(std::size_t index);
  void Probe(Edge& edge);
  void CheckEnded(std::size_t index);
  [[nodiscard]] auto SeedsOf(std::size_t index) const -> std::string;
  [[nodiscard]] auto FileOf(std::size_t index, const char* ending) const
      -> std::string;

  World& world_;
  const EdgeSettings settings_;
  std::vector<std::unique_ptr<Edge>> edges_;
  bool stopped_ = false;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_EDGES_H_
