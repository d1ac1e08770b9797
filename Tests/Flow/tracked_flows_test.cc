#include "Flow/tracked_flows.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

constexpr std::size_t kCapacity = 4;  // One set.

auto FlowFrom(std::uint16_t port) -> FlowId {
  return {{Ipv4Address(0x64400007), Port(port)},
          {Ipv4Address(0xC6120001), Port(443)}};
}

// Adds the flow as one last seen at `second`.
auto Add(TrackedFlows& flows, const FlowId& id, int second) -> bool {
  auto has_evicted = false;
  auto& flow =
      flows.FindOrAdd(id, [&](const TrackedFlow&) { has_evicted = true; });
  flow.last_seen = TimePoint(std::chrono::seconds(second));
  return has_evicted;
}

Test(tracked_flows, flows_of_one_set_are_told_apart) {
  auto flows = TrackedFlows(kCapacity);
  Add(flows, FlowFrom(1), 1);
  Add(flows, FlowFrom(2), 2);
  cr_assert_eq(flows.Find(FlowFrom(1))->last_seen.time_since_epoch(),
               std::chrono::seconds(1));
  cr_assert_eq(flows.Find(FlowFrom(2))->last_seen.time_since_epoch(),
               std::chrono::seconds(2));
  cr_assert_null(flows.Find(FlowFrom(3)));
}

// Two flows of one caller from neighbouring ports whose keys are the same
// (review/3).
Test(tracked_flows, flows_of_one_key_are_told_apart) {
  const auto service = SocketAddress{Ipv4Address(0xC6120001), Port(8443)};
  const auto caller = Ipv4Address(0x64400007);
  const auto one = FlowId{{caller, Port(1343)}, service};
  const auto other = FlowId{{caller, Port(1344)}, service};
  cr_assert_eq(FlowKeyOf(one), FlowKeyOf(other));
  auto flows = TrackedFlows(kCapacity);
  Add(flows, one, 1);
  cr_assert_null(flows.Find(other));
  Add(flows, other, 2);
  cr_assert_neq(flows.Find(one), flows.Find(other));
}

Test(tracked_flows, a_free_slot_is_no_flow) {
  auto flows = TrackedFlows(kCapacity);
  cr_assert_null(flows.Find(FlowId()));
  Add(flows, FlowId(), 1);
  cr_assert_not_null(flows.Find(FlowId()));
}

Test(tracked_flows, the_flow_that_was_idle_longest_is_evicted) {
  auto flows = TrackedFlows(kCapacity);
  for (auto port = std::uint16_t{1}; port <= kCapacity; ++port) {
    cr_assert_not(Add(flows, FlowFrom(port), 10 - port));
  }
  cr_assert(Add(flows, FlowFrom(5), 20));
  cr_assert_null(flows.Find(FlowFrom(4)));
  cr_assert_not_null(flows.Find(FlowFrom(1)));
}

}  // namespace
}  // namespace hemlockwick
