#ifndef HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
#define HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_stats.h"
#include "Flow/flow_token.h"
#include "Flow/flow_tracker.h"
#include "Flow/router_event_buffer.h"
#include "Flow/token_types.h"

namespace hemlockwick {

struct TokenRouterSettings {
  DataCentreId data_centre;
  // Flows watched for signs of dead endpoints; about 100 bytes each.
  std::size_t tracked_flows = 8192;
  InstanceId instance;  // Sets when a suspect of others is tried again.
};

// Decides packets of flows that carry their endpoint. Needs no state shared
// with other instances and none that outlives the process; what it watches
// only improves the choice of endpoints. One traffic thread owns it. A model
// of FlowAffinity.
class TokenRouter {
 public:
  using Packet = TokenPacket;
  using Action = TokenAction;

  explicit TokenRouter(const TokenRouterSettings& settings);

  // Takes a new directory; returns the resets of flows whose endpoint left.
  auto Update(std::shared_ptr<const DirectorySnapshot> directory, TimePoint now)
      -> std::vector<ResetFlow>;

  auto Decide(const TokenPacket& packet, TimePoint now) -> TokenAction;

  // To be called often, and only when all packets that have arrived were
  // decided: judges packets that had no reply. Returns resets of flows of
  // endpoints found silent.
  auto OnTick(TimePoint now) -> std::vector<ResetFlow>;

  // Takes what other instances have found.
  void ApplySharedSuspects(const std::vector<SharedSuspect>& suspects,
                           TimePoint now);

  // What other instances should know since the last call.
  [[nodiscard]] auto TakeObservations() -> EndpointObservations {
    return tracker_.TakeObservations();
  }

  // Notes since the last call.
  [[nodiscard]] auto TakeEvents() -> std::vector<RouterEvent> {
    return events_.Take();
  }
  [[nodiscard]] auto TakeReplySamples() -> std::vector<ReplySample> {
    return tracker_.TakeReplySamples();
  }

  // What decisions are based on; null before the first Update.
  [[nodiscard]] auto directory() const -> const DirectorySnapshot* {
    return directory_.get();
  }
  // Unanswered packets that counted as signs.
  [[nodiscard]] auto unanswered_packets() const -> std::uint64_t {
    return tracker_.unanswered_packets();
  }
  // Requests that had no answer in time.
  [[nodiscard]] auto unanswered_requests() const -> std::uint64_t {
    return tracker_.unanswered_requests();
  }
  // Notes beyond the bound.
  [[nodiscard]] auto dropped_events() const -> std::uint64_t {
    return events_.dropped();
  }
  [[nodiscard]] auto endpoint_stats() const -> const EndpointStatsMap& {
    return tracker_.endpoint_stats();
  }

 private:
  auto Open(const TokenPacket& packet, const Route& route, TimePoint now)
      -> TokenAction;
  auto Continue(const TokenPacket& packet, const Route& route, TimePoint now)
      -> TokenAction;
  auto DecideDeparted(const TokenPacket& packet,
                      const DepartedEndpoint& endpoint, const Route& route,
                      TimePoint now) -> TokenAction;
  auto DecideUnknown(const TokenPacket& packet, TimePoint now) -> TokenAction;
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
  std::unordered_map<FlowToken, TimePoint> unknown_since_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
