#include "Soak/flow_ledger.h"

namespace hemlockwick::soak {

namespace {

// A flow is broken when this many of its packets, within this time, reach other
// endpoints and none its own.
constexpr int kStrays = 3;
constexpr Duration kStrayTime = std::chrono::seconds(2);

auto NameOf(const FlowId& id) -> std::string { return ToString(id.first); }

}  // namespace

void FlowLedger::Arrived(const FlowId& id, std::uint64_t endpoint) {
  auto& flow = flows_[id];
  flow.endpoint = endpoint;
  flow.strays = 0;
  ++flow.row;
}

void FlowLedger::Strayed(const FlowId& id, std::uint64_t endpoint,
                         Ipv4Address instance) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.endpoint == endpoint) {
    return;
  }
  auto& flow = found->second;
  flow.instance = instance;
  world_.Count("packets of open flows at other endpoints");
  if (!is_sound_(instance, flow.endpoint)) {
    return;
  }
  if (++flow.strays == 1) {
    world_.After(kStrayTime, [this, id, row = flow.row] { CheckRow(id, row); });
  }
}

void FlowLedger::CheckRow(const FlowId& id, std::uint64_t row) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.row != row) {
    return;
  }
  const auto& flow = found->second;
  if (flow.strays >= kStrays && is_sound_(flow.instance, flow.endpoint)) {
    world_.Break("packets of an open flow reach its endpoint",
                 NameOf(id) + " through " + ToString(flow.instance));
  }
}

void FlowLedger::Ended(const FlowId& id, std::uint64_t endpoint) {
  const auto found = flows_.find(id);
  if (found != flows_.end() && found->second.endpoint == endpoint) {
    flows_.erase(found);
  }
}

auto FlowLedger::IsWrongReset(const FlowId& id, std::uint64_t endpoint) const
    -> bool {
  const auto found = flows_.find(id);
  return found != flows_.end() && found->second.endpoint != endpoint &&
         is_sound_(found->second.instance, found->second.endpoint);
}

}  // namespace hemlockwick::soak
