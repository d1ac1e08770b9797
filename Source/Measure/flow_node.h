#ifndef HEMLOCKWICK_MEASURE_FLOW_NODE_H_
#define HEMLOCKWICK_MEASURE_FLOW_NODE_H_

#include <concepts>
#include <cstddef>
#include <deque>
#include <memory>
#include <unordered_map>

#include "Flow/flow_router.h"
#include "Flow/record_router.h"
#include "Flow/table_set.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// One instance's way to decide packets.
template <typename T>
concept FlowNode = requires(T node, std::shared_ptr<const FleetConfig> config,
                            const MemberView& view, const FlowPacket& packet,
                            const FlowMessage& message, TimePoint now) {
  node.Update(config, view, now);
  { node.Decide(packet, now) } -> std::same_as<FlowAction>;
  { node.OnTick(now) } -> std::same_as<FlowActions>;
  { node.OnMessage(InstanceId(), message, now) } -> std::same_as<FlowActions>;
  { node.BeginLeave(now) } -> std::same_as<FlowActions>;
  { node.LeaveDone(now) } -> std::same_as<bool>;
  { node.stats() } -> std::same_as<FlowStats>;
};

// The product's router.
class RouterNode {
 public:
  RouterNode(InstanceId self, TimePoint now);

  void Update(std::shared_ptr<const FleetConfig> config, const MemberView& view,
              TimePoint now);
  auto Decide(const FlowPacket& packet, TimePoint now) -> FlowAction;
  auto OnTick(TimePoint now) -> FlowActions { return router_.OnTick(now); }
  auto OnMessage(InstanceId from, const FlowMessage& message, TimePoint now)
      -> FlowActions;
  auto BeginLeave(TimePoint now) -> FlowActions;
  [[nodiscard]] auto LeaveDone(TimePoint now) const -> bool;
  [[nodiscard]] auto stats() const -> FlowStats { return router_.stats(); }

 private:
  EventLog events_;
  FlowRouter router_;
  RecordRouter reader_;
};

enum class RivalKind {
  kPureHash,         // The present table alone.
  kLocalTable,       // A flow table per instance.
  kReplicatedTable,  // Flow tables copied within the control budget.
};

// A rival way to decide packets.
template <RivalKind kKind>
class RivalNode {
 public:
  RivalNode(InstanceId self, TimePoint now);

  void Update(std::shared_ptr<const FleetConfig> config, const MemberView& view,
              TimePoint now);
  auto Decide(const FlowPacket& packet, TimePoint now) -> FlowAction;
  auto OnTick(TimePoint now) -> FlowActions;
  auto OnMessage(InstanceId from, const FlowMessage& message, TimePoint now)
      -> FlowActions;
  auto BeginLeave(TimePoint now) -> FlowActions;
  [[nodiscard]] auto LeaveDone(TimePoint now) const -> bool;
  [[nodiscard]] auto stats() const -> FlowStats;

 private:
  InstanceId self_;
  TableSet tables_;
  std::shared_ptr<const FleetConfig> config_;
  MemberView view_;
  std::unordered_map<FlowKey, EndpointId> owners_;
  std::deque<HandOverRecord> unsent_;
  TimePoint last_tick_;
  double allowance_ = 0;
  std::size_t sent_bytes_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_NODE_H_
