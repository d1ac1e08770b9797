#ifndef HEMLOCKWICK_FLOW_FLOW_ROUTER_H_
#define HEMLOCKWICK_FLOW_FLOW_ROUTER_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/snapshot_cell.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Flow/flow_message.h"
#include "Flow/flow_types.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Bucket tables and homes of one configuration and member view. Immutable;
// defined in flow_snapshot.h.
struct FlowSnapshot;

struct FlowRouterSettings {
  // Maximum number of flow records; 64 bytes each.
  std::size_t max_records = 500'000;
  // Limit on hand-over messages, on average.
  std::size_t hand_over_bytes_per_second = 2'000;
};

struct SendFlowMessage {
  InstanceId to;
  SocketAddress address;  // The peer's HTTP address.
  FlowMessage message;
};
using FlowActions = std::vector<SendFlowMessage>;

struct FlowStats {
  std::size_t records = 0;
  std::size_t evicted = 0;  // Records not stored because the table was full.
  std::size_t unsettled_buckets = 0;
  std::size_t total_buckets = 0;
  std::size_t relayed = 0;     // Packets relayed to another instance.
  std::size_t unrecorded = 0;  // New flows left with the earliest owner.
  std::size_t refused = 0;     // Packets dropped rather than misrouted.
  std::size_t conflicts = 0;   // Flows whose homes disagreed on the owner.
  std::size_t hand_over_bytes = 0;
  double bytes_per_record = 0;
};

// Decides where packets go, by bucket tables and by flow records that are kept
// at the homes of a flow. The control thread calls Update, OnTick, OnMessage
// and BeginLeave; any number of traffic threads call Decide.
//
// OnTick has to be called at least every kControlLease / 2, and Update whenever
// MemberView::refreshed has advanced: while either is overdue, no packet is
// forwarded by the table alone.
class FlowRouter {
 public:
  FlowRouter(const FlowRouterSettings& settings, InstanceId self,
             EventLog& events, TimePoint now);
  ~FlowRouter();
  FlowRouter(const FlowRouter&) = delete;
  auto operator=(const FlowRouter&) -> FlowRouter& = delete;

  // Applies a new configuration or member view and publishes a new snapshot.
  void Update(std::shared_ptr<const FleetConfig> config,
              const MemberView& members, TimePoint now);

  // The snapshots for traffic threads.
  [[nodiscard]] auto snapshots() const -> const SnapshotCell<FlowSnapshot>&;

  // Decides one packet. `snapshot` may be null before the first Update.
  auto Decide(const FlowSnapshot* snapshot, const FlowPacket& packet,
              TimePoint now) -> FlowAction;

  // Expires records, settles buckets and resends hand-overs. Returns messages
  // to send.
  auto OnTick(TimePoint now) -> FlowActions;

  auto OnMessage(InstanceId from, const FlowMessage& message, TimePoint now)
      -> FlowActions;

  // Starts the hand-over of the records before a planned stop.
  auto BeginLeave(TimePoint now) -> FlowActions;

  // Whether every hand-over has been acknowledged or abandoned.
  [[nodiscard]] auto LeaveDone(TimePoint now) const -> bool;

  [[nodiscard]] auto stats() const -> FlowStats;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_ROUTER_H_
