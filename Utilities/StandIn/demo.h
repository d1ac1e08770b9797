#ifndef HEMLOCKWICK_STANDIN_DEMO_H_
#define HEMLOCKWICK_STANDIN_DEMO_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "StandIn/flow_caller.h"
#include "StandIn/flow_endpoint.h"
#include "StandIn/local_fleet.h"
#include "StandIn/request_caller.h"
#include "StandIn/request_endpoint.h"
#include "StandIn/run_ledger.h"

namespace hemlockwick {

// Runs the system on stand-ins: opens flows, sends requests, drains two
// endpoints, stops one instance, kills another and prints a summary.
class Demo {
 public:
  // `program` is the path of the hemlockwick binary.
  explicit Demo(std::string program) : program_(std::move(program)) {}

  // Returns whether no flow broke and no request was lost or doubled.
  [[nodiscard]] auto Run() -> Result<bool>;

 private:
  auto StartEndpoints() -> Result<void>;
  void Say(const std::string& text) const;
  [[nodiscard]] auto AwaitVersion(std::uint64_t version) -> bool;
  void Drain();
  void StopOne();
  void KillOne();
  void OpenFlows();
  void OpenLateFlows();
  void Watch(Duration time) const;
  [[nodiscard]] auto Summary() -> bool;
  void PrintFlows(const FlowTotals& flows) const;
  void PrintRequests(const RequestTotals& requests) const;
  void PrintVersions() const;

  const std::string program_;
  const std::chrono::steady_clock::time_point begun_ =
      std::chrono::steady_clock::now();
  RunLedger ledger_;
  LocalObjects objects_;
  std::vector<std::unique_ptr<FlowEndpoint>> flow_endpoints_;
  std::vector<std::unique_ptr<RequestEndpoint>> request_endpoints_;
  std::unique_ptr<LocalFleet> fleet_;
  std::unique_ptr<Fabric> fabric_;
  std::unique_ptr<FlowCaller> flows_;  // Sends through the fabric.
  std::unique_ptr<RequestCaller> requests_;
  std::set<std::size_t> gone_;  // Instances that were stopped or killed.
  std::uint32_t first_late_flow_ = 0;
  std::size_t unknown_before_kill_ = 0;  // A planned change cuts no request.
  bool failed_ = false;  // Something that was awaited did not happen.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_DEMO_H_
