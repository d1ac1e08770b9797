#include "Flow/flow_router.h"

#include <utility>

#include "Flow/flow_router_impl.h"

namespace hemlockwick {

FlowRouter::FlowRouter(const FlowRouterSettings& settings, InstanceId self,
                       EventLog& events, TimePoint now)
    : impl_(std::make_unique<Impl>(settings, self, events, now)) {}

FlowRouter::~FlowRouter() = default;

void FlowRouter::Update(std::shared_ptr<const FleetConfig> config,
                        const MemberView& members, TimePoint now) {
  impl_->Update(std::move(config), members, now);
}

auto FlowRouter::snapshots() const -> const SnapshotCell<FlowSnapshot>& {
  return impl_->snapshots();
}

auto FlowRouter::Decide(const FlowSnapshot* snapshot, const FlowPacket& packet,
                        TimePoint now) -> FlowAction {
  if (snapshot == nullptr) {
    return DropPacket{DropReason::kUnknownService};
  }
  return impl_->Decide(*snapshot, packet, now);
}

auto FlowRouter::OnTick(TimePoint now) -> FlowActions {
  return impl_->OnTick(now);
}

auto FlowRouter::OnMessage(InstanceId from, const FlowMessage& message,
                           TimePoint now) -> FlowActions {
  return impl_->OnMessage(from, message, now);
}

auto FlowRouter::BeginLeave(TimePoint now) -> FlowActions {
  return impl_->BeginLeave(now);
}

auto FlowRouter::LeaveDone(TimePoint now) const -> bool {
  return impl_->LeaveDone(now);
}

auto FlowRouter::stats() const -> FlowStats { return impl_->stats(); }

}  // namespace hemlockwick
