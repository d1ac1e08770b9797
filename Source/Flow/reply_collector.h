#ifndef HEMLOCKWICK_FLOW_REPLY_COLLECTOR_H_
#define HEMLOCKWICK_FLOW_REPLY_COLLECTOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_speed.h"
#include "Flow/endpoint_stats.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Sums up the replies of each endpoint between two reports to other instances.
// The sums are in EndpointStats, so that a reply needs no look-up of its own.
// Used by one traffic thread only.
class ReplyCollector {
 public:
  // The time of the reports within each second depends on `instance`, so that
  // a relay's watchers do not all report at once.
  explicit ReplyCollector(InstanceId instance);

  // Adds a reply to the sum in the endpoint's stats.
  void Add(FlowToken token, double ratio, EndpointStats& stats);

  // The replies since the last report; empty while no report is due. The first
  // report is due once the instance's time of the second has passed.
  [[nodiscard]] auto Take(EndpointStatsMap& endpoint_stats, TimePoint now)
      -> std::vector<ReplySummary>;

 private:
  const Duration phase_;
  std::optional<std::int64_t> period_;  // Of the last report.
  std::vector<FlowToken> endpoints_;    // Those with replies to report.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_REPLY_COLLECTOR_H_
