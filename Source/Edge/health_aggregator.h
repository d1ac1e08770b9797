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

// Endpoints that instances suspect of one thing. One instance alone never makes
// an endpoint suspect. A suspicion is renewed by one report, so that not every
// instance has to try the endpoint, but not twice by the same instance.
class SuspectReports {
 public:
  // Takes a report. Returns whether the endpoint has become suspect.
  auto Add(InstanceId reporter, FlowToken token, TimePoint now) -> bool;

  // Forgets what was reported of an endpoint. Returns whether there was any.
  auto Clear(FlowToken token) -> bool { return reports_.erase(token) > 0; }

  // Adds the endpoints that several instances have reported lately.
  void AppendSuspects(Suspicion suspicion, TimePoint now,
                      std::vector<SharedSuspect>& suspects) const;

 private:
  // What is known of an endpoint.
  struct Reports {
    std::map<InstanceId, TimePoint> latest;  // By reporter.
    TimePoint suspected;  // When it was last found or renewed as a suspect.
    InstanceId renewer;   // Who renewed it then; zero when several found it.
  };

  static auto IsSuspect(const Reports& reports, TimePoint now) -> bool;
  static auto HasQuorum(const Reports& reports, TimePoint now) -> bool;
  void RemoveExpired(TimePoint now);

  std::unordered_map<FlowToken, Reports> reports_;
  TimePoint next_cleanup_;
};

// Gathers what instances report to a relay about endpoints. A relay sees more
// flows of an endpoint than each of them, so it finds a faulty one sooner. An
// instance that hears from an endpoint clears it of silence.
class HealthAggregator {
 public:
  // Takes a report. Returns whether the set of suspects has changed.
  auto Report(InstanceId reporter, const EndpointObservations& observations,
              TimePoint now) -> bool;

  // Endpoints that several instances have reported lately.
  [[nodiscard]] auto Suspects(TimePoint now) const
      -> std::vector<SharedSuspect>;

 private:
  SuspectReports silent_;
  SuspectReports failing_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HEALTH_AGGREGATOR_H_
