#ifndef HEMLOCKWICK_FLOW_FLOW_ROUTER_IMPL_H_
#define HEMLOCKWICK_FLOW_FLOW_ROUTER_IMPL_H_

#include <atomic>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Flow/address_usage.h"
#include "Flow/flow_counters.h"
#include "Flow/flow_router.h"
#include "Flow/flow_snapshot.h"
#include "Flow/flow_timing.h"
#include "Flow/hand_over_queue.h"
#include "Flow/packet_decision.h"
#include "Flow/record_table.h"
#include "Flow/table_set.h"

namespace hemlockwick {

// State of a FlowRouter. Everything but the records, the counters, the leases
// and the conflicts is used by the control thread only.
class FlowRouter::Impl {
 public:
  Impl(const FlowRouterSettings& settings, InstanceId self, EventLog& events,
       TimePoint now);

  void Update(std::shared_ptr<const FleetConfig> config,
              const MemberView& members, TimePoint now);
  auto Decide(const FlowSnapshot& snapshot, const FlowPacket& packet,
              TimePoint now) -> FlowAction;
  auto OnTick(TimePoint now) -> FlowActions;
  auto OnMessage(InstanceId from, const FlowMessage& message, TimePoint now)
      -> FlowActions;
  auto BeginLeave(TimePoint now) -> FlowActions;
  [[nodiscard]] auto LeaveDone(TimePoint now) const -> bool;
  [[nodiscard]] auto stats() const -> FlowStats;
  [[nodiscard]] auto snapshots() const -> const SnapshotCell<FlowSnapshot>& {
    return cell_;
  }

 private:
  struct FormerHomes {
    std::shared_ptr<const HomeTable> table;
    TimePoint until;
  };

  auto DecideByHomes(const FlowSnapshot& snapshot, const ServiceTable& table,
                     const FlowPacket& packet, SnapshotTrust trust,
                     TimePoint now) -> FlowAction;

  auto TrustAt(TimePoint now) const -> SnapshotTrust {
    const auto relaxed = std::memory_order_relaxed;
    auto trust = SnapshotTrust();
    trust.view_is_current =
        now <= lease_until_.load(relaxed) && now >= trusted_from_.load(relaxed);
    // A new instance waits until it has learned of past partitions.
    trust.may_use_table = trust.view_is_current && started_ &&
                          now >= *started_ + kConfigPropagationTime;
    return trust;
  }

  void MarkStarted(TimePoint now);
  void DetectAbsence(TimePoint now);
  void RenewLease();
  void UpdateHomes(TimePoint now);
  void AddFormerHomes(std::shared_ptr<const HomeTable> table, TimePoint now);
  void QueueRecords(const HomeTable& before, TimePoint now);
  void UpdatePartition(TimePoint now);
  void EndPartition(TimePoint now);
  void QueueConflicts();
  void ExpireRecords(TimePoint now);
  auto IsHome(FlowKey flow) const -> bool;
  void MergeRecord(const HandOverRecord& record);
  void Publish(TimePoint now);

  const FlowRouterSettings settings_;
  const InstanceId self_;
  std::optional<TimePoint> started_;  // Time of the first Update or OnTick.
  EventLog& events_;

  std::shared_ptr<const FleetConfig> config_;
  MemberView view_;
  TableSet tables_;
  std::shared_ptr<const HomeTable> homes_;
  std::vector<HomeMember> running_;
  std::deque<FormerHomes> former_homes_;  // Newest first.
  HandOverQueue hand_overs_;
  TimePoint next_expiry_;
  TimePoint last_tick_;
  TimePoint refreshed_;
  bool was_absent_ = false;  // Paused or cut off, not recovered yet.
  bool changed_ = false;
  std::optional<TimePoint> leaving_since_;
  std::optional<TimePoint> unreachable_since_;
  TimePoint last_unreachable_;
  std::vector<DataCentreId> avoided_data_centres_;
  TimePoint partition_effect_until_;

  RecordTable records_;
  FlowCounters counters_;
  std::atomic<TimePoint> lease_until_;
  std::atomic<TimePoint> trusted_from_;
  std::mutex conflicts_mutex_;
  std::vector<FlowRecord> conflicts_;
  SnapshotCell<FlowSnapshot> cell_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_ROUTER_IMPL_H_
