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

// Adds up what a relay hears of endpoints, for the relay above it. Of many
// instances that report the same, only as many are named as it takes to make an
// endpoint suspect; so no relay hears from all instances.
class ReportLimiter {
 public:
  void Add(const HealthReport& report, TimePoint now);

  // What is to be passed on since the last call.
  [[nodiscard]] auto Take() -> std::vector<HealthReport>;

 private:
  // Who has reported an endpoint lately, and when each was passed on.
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
