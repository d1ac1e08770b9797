#ifndef HEMLOCKWICK_EDGE_HEALTH_AGGREGATOR_H_
#define HEMLOCKWICK_EDGE_HEALTH_AGGREGATOR_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_stats.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Reports about endpoints for one kind of suspicion. A single instance never
// makes an endpoint suspect. One report renews a suspicion, so that not every
// instance has to try the endpoint, but the same instance cannot renew it twice
// in succession.
class SuspectReports {
 public:
  // Records a report. Returns whether the endpoint has become suspect.
  auto Add(InstanceId reporter, FlowToken token, TimePoint now) -> bool;

  // Discards the reports on an endpoint. Returns whether there were any.
  auto Clear(FlowToken token) -> bool { return reports_.erase(token) > 0; }

  // Appends the endpoints that are suspect at `now`.
  void AppendSuspects(Suspicion suspicion, TimePoint now,
                      std::vector<SharedSuspect>& suspects) const;

 private:
  // Reports on one endpoint.
  struct Reports {
    std::map<InstanceId, TimePoint> latest;  // By reporter.
    TimePoint suspected;  // Last found or renewed as a suspect.
    InstanceId renewer;   // Who renewed it; zero: none since it was found.
  };

  static auto IsSuspect(const Reports& reports, TimePoint now) -> bool;
  static auto HasQuorum(const Reports& reports, TimePoint now) -> bool;
  void RemoveExpired(TimePoint now);

  std::unordered_map<FlowToken, Reports> reports_;
  TimePoint next_cleanup_;
};

// Combines the health reports that instances send to a relay. A relay receives
// observations of more flows of an endpoint than each instance has, so a faulty
// endpoint is found sooner. An instance that receives answers from an endpoint
// clears its suspicion of silence.
class HealthAggregator {
 public:
  // Records a report. Returns whether the set of suspects has changed.
  auto Report(InstanceId reporter, const EndpointObservations& observations,
              TimePoint now) -> bool;

  // The endpoints that are suspect at `now`.
  [[nodiscard]] auto Suspects(TimePoint now) const
      -> std::vector<SharedSuspect>;

 private:
  SuspectReports silent_;
  SuspectReports failing_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HEALTH_AGGREGATOR_H_
