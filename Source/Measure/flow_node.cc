#include "Measure/flow_node.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

constexpr double kRivalBytesPerSecond = 3000;
constexpr std::size_t kRivalBatch = 100;
constexpr std::size_t kEnvelopeBytes = 400;
constexpr std::size_t kSimulatedRecords = 100'000;

static_assert(FlowNode<RouterNode>);
static_assert(FlowNode<RivalNode<RivalKind::kPureHash>>);

}  // namespace

RouterNode::RouterNode(InstanceId self, TimePoint now)
    : events_("node"),
      router_({.max_records = kSimulatedRecords}, self, events_, now),
      reader_(router_) {}

void RouterNode::Update(std::shared_ptr<const FleetConfig> config,
                        const MemberView& view, TimePoint now) {
  router_.Update(std::move(config), view, now);
}

auto RouterNode::Decide(const FlowPacket& packet, TimePoint now) -> FlowAction {
  return reader_.Decide(packet, now);
}

auto RouterNode::OnMessage(InstanceId from, const FlowMessage& message,
                           TimePoint now) -> FlowActions {
  return router_.OnMessage(from, message, now);
}

auto RouterNode::BeginLeave(TimePoint now) -> FlowActions {
  return router_.BeginLeave(now);
}

auto RouterNode::LeaveDone(TimePoint now) const -> bool {
  return router_.LeaveDone(now);
}

template <RivalKind kKind>
RivalNode<kKind>::RivalNode(InstanceId self, TimePoint now)
    : self_(self), last_tick_(now) {}

template <RivalKind kKind>
void RivalNode<kKind>::Update(std::shared_ptr<const FleetConfig> config,
                              const MemberView& view, TimePoint now) {
  view_ = view;
  if (config != nullptr && config != config_) {
    config_ = std::move(config);
    tables_.Apply(*config_, now);
  }
}

template <RivalKind kKind>
auto RivalNode<kKind>::Decide(const FlowPacket& packet, TimePoint now)
    -> FlowAction {
  const auto found = tables_.by_address()->find(packet.destination);
  if (found == tables_.by_address()->end()) {
    return DropPacket{DropReason::kUnknownService};
  }
  const auto& table = *found->second;
  auto owner = table.OwnerOf(table.BucketOf(packet.flow));
  if constexpr (kKind != RivalKind::kPureHash) {
    const auto known = owners_.find(packet.flow);
    if (known != owners_.end() && table.Find(known->second) != kNoOwner) {
      owner = table.Find(known->second);
    } else if (owner != kNoOwner) {
      const auto id = table.endpoint(owner).id;
      owners_[packet.flow] = id;
      if (kKind == RivalKind::kReplicatedTable && packet.opens) {
        unsent_.push_back({packet.flow, table.service().id, id, now, now});
      }
    }
    if (packet.closes) {
      owners_.erase(packet.flow);
    }
  }
  if (owner == kNoOwner) {
    return DropPacket{DropReason::kNoEndpoint};
  }
  const auto& endpoint = table.endpoint(owner);
  return ForwardToEndpoint{endpoint.id, endpoint.address};
}

template <RivalKind kKind>
auto RivalNode<kKind>::OnTick(TimePoint now) -> FlowActions {
  const auto elapsed = std::chrono::duration<double>{now - last_tick_}.count();
  last_tick_ = now;
  allowance_ = std::min(allowance_ + elapsed * kRivalBytesPerSecond,
                        kRivalBytesPerSecond);
  if (unsent_.empty() || allowance_ <= 0) {
    return {};
  }
  auto message = HandOver();
  while (!unsent_.empty() && message.records.size() < kRivalBatch) {
    message.records.push_back(unsent_.front());
    unsent_.pop_front();
  }
  const auto bytes = Encode(FlowMessage(message)).size() + kEnvelopeBytes;
  auto actions = FlowActions();
  for (const auto& member : view_.members) {
    if (member.id != self_ && IsServing(member.state)) {
      actions.push_back({member.id, member.http_address, message});
      allowance_ -= static_cast<double>(bytes);
      sent_bytes_ += bytes;
    }
  }
  return actions;
}

template <RivalKind kKind>
auto RivalNode<kKind>::OnMessage(InstanceId /*from*/,
                                 const FlowMessage& message, TimePoint /*now*/)
    -> FlowActions {
  if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    for (const auto& record : hand_over->records) {
      owners_.try_emplace(record.flow, record.endpoint);
    }
  }
  return {};
}

template <RivalKind kKind>
auto RivalNode<kKind>::BeginLeave(TimePoint /*now*/) -> FlowActions {
  return {};
}

template <RivalKind kKind>
auto RivalNode<kKind>::LeaveDone(TimePoint /*now*/) const -> bool {
  return true;
}

template <RivalKind kKind>
auto RivalNode<kKind>::stats() const -> FlowStats {
  auto stats = FlowStats();
  stats.records = owners_.size();
  stats.hand_over_bytes = sent_bytes_;
  return stats;
}

template class RivalNode<RivalKind::kPureHash>;
template class RivalNode<RivalKind::kLocalTable>;
template class RivalNode<RivalKind::kReplicatedTable>;

}  // namespace hemlockwick
