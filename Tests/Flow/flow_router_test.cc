#include "Flow/flow_router.h"

#include <criterion/criterion.h>

#include <string>

#include "Flow/flow_snapshot.h"
#include "Flow/flow_timing.h"
#include "Measure/flow_world.h"

namespace hemlockwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr TimePoint kNow = kStart + seconds(10);

auto MakeView(std::size_t count, TimePoint now) -> MemberView {
  auto view = MemberView();
  for (std::size_t i = 0; i < count; ++i) {
    auto member = Member();
    member.id = InstanceId(i + 1);
    member.data_centre = DataCentreAt(i % kDataCentreCount);
    view.members.push_back(member);
  }
  view.self = view.members.front().id;
  view.data_centre = view.members.front().data_centre;
  view.refreshed = now;
  return view;
}

// A router in a fleet of `instances`, with two services.
class RouterFixture {
 public:
  explicit RouterFixture(std::size_t instances, std::size_t max_records = 1000)
      : world_({14, 4}, kStart),
        instances_(instances),
        events_("test"),
        router_({.max_records = max_records}, InstanceId(1), events_, kStart) {
    Refresh(kStart);
    Run(kStart, kNow);
  }

  void Refresh(TimePoint now) {
    router_.Update(world_.config(), MakeView(instances_, now), now);
  }
  void Run(TimePoint from, TimePoint to) {
    for (auto now = from; now <= to; now += milliseconds(200)) {
      router_.OnTick(now);
      Refresh(now);
    }
  }
  auto Decide(const FlowPacket& packet, TimePoint now) -> FlowAction {
    return router_.Decide(router_.snapshots().Load().get(), packet, now);
  }
  auto Packet(std::uint64_t flow, bool opens) const -> FlowPacket {
    auto packet = FlowPacket();
    packet.flow = FlowKey(flow);
    packet.destination =
        FindService(*world_.config(), IdFromName<ServiceId>("service-0"))
            ->address;
    packet.opens = opens;
    return packet;
  }
  auto world() -> FlowWorld& { return world_; }
  auto router() -> FlowRouter& { return router_; }

 private:
  FlowWorld world_;
  std::size_t instances_;
  EventLog events_;
  FlowRouter router_;
};

auto DroppedFor(const FlowAction& action, DropReason reason) -> bool {
  const auto* drop = std::get_if<DropPacket>(&action);
  return drop != nullptr && drop->reason == reason;
}

Test(flow_router, drops_before_the_first_configuration) {
  auto fixture = RouterFixture(1);
  const auto action =
      fixture.router().Decide(nullptr, fixture.Packet(1, true), kNow);
  cr_assert(DroppedFor(action, DropReason::kUnknownService));
}

Test(flow_router, drops_unknown_services_and_loops) {
  auto fixture = RouterFixture(7);
  auto packet = fixture.Packet(1, true);
  packet.relay.hops = kMaxRelayHops + 1;
  cr_assert(DroppedFor(fixture.Decide(packet, kNow), DropReason::kLoop));
  packet.relay.hops = 0;
  packet.destination.port = Port(1);
  cr_assert(
      DroppedFor(fixture.Decide(packet, kNow), DropReason::kUnknownService));
}

Test(flow_router, settled_flows_are_forwarded_without_a_record) {
  auto fixture = RouterFixture(7);
  for (std::uint64_t flow = 0; flow < 500; ++flow) {
    const auto action = fixture.Decide(fixture.Packet(flow, true), kNow);
    cr_assert(std::holds_alternative<ForwardToEndpoint>(action));
  }
  cr_assert_eq(fixture.router().stats().records, 0U);
}

Test(flow_router, forwards_by_the_table_only_during_the_lease) {
  auto fixture = RouterFixture(7);
  const auto paused = kNow + kControlLease + milliseconds(1);
  for (std::uint64_t flow = 0; flow < 500; ++flow) {
    const auto data = fixture.Decide(fixture.Packet(flow, false), paused);
    cr_assert(!std::holds_alternative<ForwardToEndpoint>(data));
    const auto syn = fixture.Decide(fixture.Packet(flow, true), paused);
    cr_assert(std::holds_alternative<DropPacket>(syn));
  }
}

Test(flow_router, stays_untrusted_for_the_propagation_time_after_a_pause) {
  auto fixture = RouterFixture(7);
  const auto woken = kNow + seconds(30);
  fixture.Run(woken, woken + kConfigPropagationTime - milliseconds(400));
  const auto early = woken + kConfigPropagationTime - milliseconds(300);
  const auto packet = fixture.Packet(1, false);
  cr_assert(!std::holds_alternative<ForwardToEndpoint>(
      fixture.Decide(packet, early)));
  fixture.Run(early, woken + 2 * kConfigPropagationTime);
  cr_assert(std::holds_alternative<ForwardToEndpoint>(
      fixture.Decide(packet, woken + 2 * kConfigPropagationTime)));
}

// On a busy machine an instance gets its first Update long after its start.
Test(flow_router, time_before_the_first_update_is_no_absence) {
  auto world = FlowWorld({14, 4}, kStart);
  auto events = EventLog("test");
  auto router = FlowRouter({}, InstanceId(1), events, kStart);
  const auto first = kStart + 2 * kViewLease;
  router.Update(world.config(), MakeView(1, first), first);
  router.OnTick(first);
  auto packet = FlowPacket();
  packet.flow = FlowKey(1);
  packet.destination = world.config()->services.front()->address;
  packet.opens = true;
  const auto action =
      router.Decide(router.snapshots().Load().get(), packet, first);
  cr_assert(std::holds_alternative<ForwardToEndpoint>(action));
}

Test(flow_router, full_table_leaves_new_flows_with_the_earliest_owner) {
  auto fixture = RouterFixture(1, 64);
  fixture.world().Add(kNow);
  fixture.world().Publish(kNow);
  const auto later = kNow + kSlowStart + kActivationDelay;
  fixture.Run(kNow, later);
  for (std::uint64_t flow = 0; flow < 20'000; ++flow) {
    const auto opened = fixture.Decide(fixture.Packet(flow, true), later);
    const auto* first = std::get_if<ForwardToEndpoint>(&opened);
    if (first == nullptr) {
      cr_assert(DroppedFor(opened, DropReason::kOverLimit));
      continue;
    }
    const auto data = fixture.Decide(fixture.Packet(flow, false), later);
    cr_assert(std::get<ForwardToEndpoint>(data).endpoint == first->endpoint);
  }
  cr_assert(fixture.router().stats().records <= 64);
  cr_assert(fixture.router().stats().unrecorded > 0);
}

Test(flow_router, address_of_two_services_is_quarantined) {
  auto fixture = RouterFixture(1);
  auto services = fixture.world().config()->services;
  auto changed = Service(*services[0]);
  const auto address = services[1]->endpoints.front().address;
  changed.endpoints.front().address = address;
  services[0] = std::make_shared<const Service>(changed);
  const auto bad = BuildFleetConfig(Version(9), Digest(9), kNow, {}, services);
  fixture.router().Update(bad, MakeView(1, kNow), kNow);
  auto quarantined = std::size_t{0};
  for (const auto& service : services) {
    for (std::uint64_t flow = 0; flow < 500; ++flow) {
      auto packet = fixture.Packet(flow, true);
      packet.destination = service->address;
      const auto action = fixture.Decide(packet, kNow);
      const auto* forward = std::get_if<ForwardToEndpoint>(&action);
      cr_assert(forward == nullptr || forward->address != address);
      quarantined += DroppedFor(action, DropReason::kQuarantined) ? 1 : 0;
    }
  }
  cr_assert(quarantined > 0);
}

Test(flow_router, older_version_does_not_return) {
  auto fixture = RouterFixture(1);
  const auto old = fixture.world().config();
  fixture.world().Drain(0, kNow);
  fixture.world().Publish(kNow);
  fixture.Refresh(kNow);
  const auto version = fixture.router().snapshots().Load()->version;
  fixture.router().Update(old, MakeView(1, kNow), kNow);
  cr_assert(fixture.router().snapshots().Load()->version == version);
}

Test(flow_router, leaving_instance_without_records_is_done_at_once) {
  auto fixture = RouterFixture(7);
  cr_assert(!fixture.router().LeaveDone(kNow));
  cr_assert(fixture.router().BeginLeave(kNow).empty());
  cr_assert(fixture.router().LeaveDone(kNow));
}

}  // namespace
}  // namespace hemlockwick
