#ifndef HEMLOCKWICK_SOAK_RUN_H_
#define HEMLOCKWICK_SOAK_RUN_H_

#include <cstdint>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Soak/caller.h"
#include "Soak/edges.h"
#include "Soak/endpoint.h"
#include "Soak/evacuations.h"
#include "Soak/route_probe.h"
#include "Soak/store_stand_in.h"
#include "Soak/world.h"

namespace hemlockwick::soak {

struct SoakSettings {
  std::string program;           // The hemlockwick binary.
  std::filesystem::path folder;  // For settings and logs.
  std::uint64_t seed = 1;
  std::uint8_t network = 20;  // Second byte of all addresses.
  Duration length = std::chrono::seconds(20);
  std::size_t instances = 7;
  std::size_t endpoints = 10;
  std::size_t callers = 24;
  bool planned_only = false;  // Only planned work, which must cost nothing.
  // The only fault beside planned work, soon after the start: "restore" or
  // "kill-many". Empty for all faults.
  std::string only;
};

// One seeded run: real edge processes between stand-ins, with faults in
// overlapping series, and the promises checked while it lasts.
class SoakRun {
 public:
  explicit SoakRun(const SoakSettings& settings);

  // Returns whether every promise was kept. Fails when a process or a
  // stand-in cannot start.
  [[nodiscard]] auto Run() -> Result<bool>;

 private:
  struct Service {
    std::string name;
    SocketAddress address;
  };

  void MakeLinks();
  void Publish();
  void ProbeRoutes();
  void CheckOpeningRefused(Ipv4Address instance, const SocketAddress& service);
  // Whether each calm instance must find an endpoint for new flows.
  [[nodiscard]] auto HasUsableEndpoint(const std::string& service) -> bool;
  [[nodiscard]] auto IsAnyZoneOutOfService() const -> bool;
  void CheckRefusal(const SocketAddress& service, Ipv4Address instance);
  void AddEndpoint(const std::string& service, const std::string& zone);
  void Beat(const Endpoint& endpoint);
  void Expire(const std::string& key, TimePoint since);
  void StartCallers();
  void EverySoOften(Duration time, const std::function<void()>& action);
  [[nodiscard]] auto IsSound(Ipv4Address instance, std::uint64_t endpoint)
      -> bool;

  void NextAction();
  void NextEvacuation();
  [[nodiscard]] auto MayEvacuate(const std::string& zone) -> bool;
  void NoteCalmEdges();
  void NoteOwnPause();
  void PlannedAction();
  void FaultAction();
  void KillMany();
  void KillManyTwice();
  void DrainEndpoint();
  // A random time of at most `spread` more than the shortest.
  auto FaultTime(Duration spread) -> Duration;
  void CrashEndpoint();
  void CutEndpoint();
  void FailEndpoint();
  void ChangeRoutes();
  void StoreFault();
  void RefuseCalls(Duration time);
  void RestoreStore();
  void WriteAgain();
  void LinkFaultAction();
  void LossFault();
  void WriteTraps();
  void WriteForeignEntry();
  auto AnyEdge() -> std::size_t;
  auto AnyEndpoint() -> Endpoint*;
  void Replace(const std::string& service, const std::string& zone,
               Duration after);
  void Finish();
  void Report() const;

  const SoakSettings settings_;
  World world_;
  RunLedger ledger_;
  FlowLedger flow_ledger_;
  EndpointLinks endpoint_links_;
  CallerLinks caller_links_;
  std::unique_ptr<StoreStandIn> store_;
  std::unique_ptr<Edges> edges_;
  std::unique_ptr<Evacuations> evacuations_;
  // Evacuations draw from their own series, so that those of the other faults
  // stay the same for each seed.
  Random evacuation_random_;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::vector<std::shared_ptr<Caller>> callers_;
  std::vector<Service> services_;
  std::unique_ptr<RouteProbe> probe_;
  // Routes without traffic but for probes, with the moment that added them.
  std::map<SocketAddress, TimePoint> spare_;
  std::map<SocketAddress, TimePoint> removed_;
  std::deque<SocketAddress> changed_;  // The spare routes changed last.
  std::string config_;                 // The newest configuration.
  std::map<std::string, TimePoint> beaten_;
  std::map<std::uint64_t, TimePoint> added_;  // Endpoints, by id.
  Calm store_calm_;
  TimePoint refusing_until_;
  TimePoint last_watch_;
  std::uint64_t version_ = 10;
  std::uint64_t next_endpoint_ = 0x10000001;
  std::size_t next_address_ = 0;
  TimePoint end_;
  std::uint64_t served_ = 0;
  std::uint64_t failed_ = 0;
  // Counted once all faults are over.
  bool recovered_ = false;
  std::uint64_t served_after_ = 0;
  std::uint64_t failed_after_ = 0;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_RUN_H_
