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

// Bucket tables, homes and leases of one configuration and member view.
// Immutable; defined by the flow module.
struct FlowSnapshot;

struct FlowRouterSettings {
  // Flow records kept at most; 64 bytes each.
  std::size_t max_records = 500'000;
  // Most bytes of hand-over messages a second, on average.
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
  std::size_t evicted = 0;  // Records not kept for lack of room.
  std::size_t unsettled_buckets = 0;
  std::size_t total_buckets = 0;
  std::size_t relayed = 0;     // Packets sent on to another instance.
  std::size_t unrecorded = 0;  // New flows left with the earliest owner.
  std::size_t refused = 0;     // Packets dropped rather than misrouted.
  std::size_t conflicts = 0;   // Homes that disagreed on an owner.
  std::size_t hand_over_bytes = 0;
  double bytes_per_record = 0;
};

// Decides where packets go. The control thread calls Update, OnTick,
// OnMessage and BeginLeave; any number of traffic threads call Decide.
//
// OnTick has to be called at least every kControlLease / 2, and Update whenever
// MemberView::refreshed has moved: while either is overdue, no packet is
// forwarded by the table alone.
class FlowRouter {
 public:
  FlowRouter(const FlowRouterSettings& settings, InstanceId self,
             EventLog& events, TimePoint now);
  ~FlowRouter();
  FlowRouter(const FlowRouter&) = delete;
  auto operator=(const FlowRouter&) -> FlowRouter& = delete;

  // Takes a new configuration or member view and publishes a new snapshot.
  void Update(std::shared_ptr<const FleetConfig> config,
              const MemberView& members, TimePoint now);

  // The cell that traffic threads read.
  [[nodiscard]] auto snapshots() const -> const SnapshotCell<FlowSnapshot>&;

  // Decides one packet. `snapshot` may be null before the first Update.
  auto Decide(const FlowSnapshot* snapshot, const FlowPacket& packet,
              TimePoint now) -> FlowAction;

  // Expires records, settles buckets, resends hand-overs.
  auto OnTick(TimePoint now) -> FlowActions;

  auto OnMessage(InstanceId from, const FlowMessage& message, TimePoint now)
      -> FlowActions;

  // Starts to hand the records over before a planned stop.
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
