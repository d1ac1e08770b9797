#ifndef HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
#define HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/cold_start_limiter.h"
#include "Flow/endpoint_capacity.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_selector.h"
#include "Flow/endpoint_speed.h"
#include "Flow/endpoint_stats.h"
#include "Flow/first_seen_times.h"
#include "Flow/flow_id.h"
#include "Flow/flow_token.h"
#include "Flow/flow_tracker.h"
#include "Flow/router_event_buffer.h"
#include "Flow/token_types.h"

namespace hemlockwick {

struct TokenRouterSettings {
  DataCentreId data_centre;
  // Maximum number of flows tracked to detect dead endpoints; about 100 bytes
  // each.
  std::size_t tracked_flows = 8192;
  InstanceId instance;  // Varies when shared suspects are retried.
  // Whether flows are placed by the capacity that endpoints were observed to
  // have. Without it nothing is collected for it.
  bool learns_capacity = false;
  ColdStartSettings cold_start{};
};

// Decides packets of flows that carry the token of their endpoint. Needs no
// state shared with other instances and none that outlives the process; what it
// tracks only improves the choice of endpoints. Used by one traffic thread
// only. Models FlowAffinity.
class TokenRouter {
 public:
  using Packet = TokenPacket;
  using Action = TokenAction;

  explicit TokenRouter(const TokenRouterSettings& settings);

  // Applies a new directory snapshot. Returns the resets of flows whose
  // endpoint has departed.
  auto Update(std::shared_ptr<const DirectorySnapshot> directory, TimePoint now)
      -> std::vector<ResetFlow>;

  auto Decide(const TokenPacket& packet, TimePoint now) -> TokenAction;

  // Checks for packets that have had no reply. To be called often, and only
  // when all packets that have arrived were decided. Returns resets of flows of
  // endpoints found silent.
  auto OnTick(TimePoint now) -> std::vector<ResetFlow>;

  // Applies the suspicions that several instances share.
  void ApplySharedSuspects(const std::vector<SharedSuspect>& suspects,
                           TimePoint now);

  // Sets the number of instances that share the bound on openings at cold
  // endpoints.
  void SetInstances(std::uint32_t instances) {
    cold_starts_.SetInstances(instances);
  }

  // Observations for other instances since the last call.
  [[nodiscard]] auto TakeObservations() -> EndpointObservations {
    return tracker_.TakeObservations();
  }

  // Replies observed since the last report, by endpoint, for other instances.
  // Empty unless the settings request it and the interval of 1 s has passed;
  // the time within the second differs by instance.
  [[nodiscard]] auto TakeReplySummaries(TimePoint now)
      -> std::vector<ReplySummary>;

  // Applies the speeds that several instances share, replacing earlier ones.
  void ApplySharedSpeeds(const std::vector<SharedSpeed>& speeds, TimePoint now);

  // Whether each answer is an event from now on.
  void set_reports_answers(bool reports_answers) {
    tracker_.set_reports_answers(reports_answers);
  }

  // Events since the last call.
  [[nodiscard]] auto TakeEvents() -> std::vector<RouterEvent> {
    return events_.Take();
  }
  [[nodiscard]] auto TakeReplySamples() -> std::vector<ReplySample> {
    return tracker_.TakeReplySamples();
  }

  // The directory in use; null before the first Update.
  [[nodiscard]] auto directory() const -> const DirectorySnapshot* {
    return directory_.get();
  }
  // Number of unanswered packets that counted in EndpointHealth.
  [[nodiscard]] auto unanswered_packets() const -> std::uint64_t {
    return tracker_.unanswered_packets();
  }
  // Number of requests that had no answer in time.
  [[nodiscard]] auto unanswered_requests() const -> std::uint64_t {
    return tracker_.unanswered_requests();
  }
  // Number of openings that went to another endpoint than the preferred one,
  // because that is cold and allowed no further opening.
  [[nodiscard]] auto diverted_openings() const -> std::uint64_t {
    return diverted_openings_;
  }
  // Number of events for which there was no room.
  [[nodiscard]] auto dropped_events() const -> std::uint64_t {
    return events_.dropped();
  }
  [[nodiscard]] auto endpoint_stats() const -> const EndpointStatsMap& {
    return tracker_.endpoint_stats();
  }

 private:
  auto Open(const TokenPacket& packet, const Route& route, TimePoint now)
      -> TokenAction;
  auto RefuseOpening(const TokenPacket& packet, const Route& route)
      -> TokenAction;
  [[nodiscard]] auto EndpointOf(const EarlierCopy& earlier, const Route& route,
                                TimePoint now) const
      -> const DirectoryEndpoint*;
  [[nodiscard]] auto SelectEndpoint(const TokenPacket& packet,
                                    const Route& route,
                                    const std::optional<EarlierCopy>& earlier,
                                    TimePoint now) -> const DirectoryEndpoint*;
  void CountOpening(const DirectoryEndpoint& endpoint,
                    const std::optional<EarlierCopy>& earlier, TimePoint now);
  auto Continue(const TokenPacket& packet, const Route& route, TimePoint now)
      -> TokenAction;
  auto DecideDeparted(const TokenPacket& packet,
                      const DepartedEndpoint& endpoint, const Route& route,
                      TimePoint now) -> TokenAction;
  auto MayHaveRestarted(const TokenPacket& packet,
                        const DepartedEndpoint& endpoint, TimePoint now)
      -> bool;
  auto DecideUnknown(const TokenPacket& packet, TimePoint now) -> TokenAction;
  auto DecideWithoutRoute(const TokenPacket& packet, TimePoint now)
      -> TokenAction;
  auto Forward(const TokenPacket& packet, const EndpointReport& endpoint,
               const Route& route, TimePoint now) -> TokenAction;
  [[nodiscard]] auto HasEnded(const DepartedEndpoint& endpoint,
                              TimePoint now) const -> bool;
  auto Reset(const TokenPacket& packet, ResetReason reason, Duration age)
      -> TokenAction;
  auto Drop(const TokenPacket& packet, DropReason reason) -> TokenAction;

  const TokenRouterSettings settings_;
  std::shared_ptr<const DirectorySnapshot> directory_;
  RouterEventBuffer events_;
  FlowTracker tracker_;
  EndpointSelector selector_;
  ColdStartLimiter cold_starts_;
  std::uint64_t diverted_openings_ = 0;
  EndpointCapacity capacity_;
  FirstSeenTimes<FlowToken> unknown_tokens_;
  FirstSeenTimes<FlowId> flows_without_route_;
  FirstSeenTimes<FlowId> departed_flows_;  // Their endpoint has departed.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
