#ifndef HEMLOCKWICK_EDGE_REPORT_LIMITER_H_
#define HEMLOCKWICK_EDGE_REPORT_LIMITER_H_

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Edge/health_report.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Collects the health reports that a relay passes on to the relay above. Of
// many instances that report the same endpoint, only as many are passed on as
// make it suspect, so that no relay receives the reports of all instances.
class ReportLimiter {
 public:
  void Add(const HealthReport& report, TimePoint now);

  // Takes the reports collected since the last call.
  [[nodiscard]] auto Take() -> std::vector<HealthReport>;

 private:
  // The recent reporters of an endpoint, and when a report of each was last
  // passed on.
  using Reporters = std::map<InstanceId, TimePoint>;
  using Passed = std::unordered_map<FlowToken, Reporters>;

  static auto Passes(Passed& passed, FlowToken token, InstanceId reporter,
                     TimePoint now) -> bool;

  Passed silent_;
  Passed failing_;
  std::map<InstanceId, EndpointObservations> pending_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_REPORT_LIMITER_H_
