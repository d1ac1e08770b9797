#include "Flow/flow_affinity.h"

#include <criterion/criterion.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "Flow/flow_timing.h"
#include "Flow/record_router.h"
#include "Flow/token_router.h"
#include "Measure/flow_node.h"
#include "Measure/flow_world.h"

namespace hemlockwick {
namespace {

static_assert(FlowAffinity<TokenRouter>);
static_assert(FlowAffinity<RecordRouter>);

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr std::size_t kInstances = 3;
constexpr std::size_t kEndpoints = 5;
constexpr std::uint16_t kFlows = 200;

// A fleet of instances whose flows carry tokens, and callers that keep the
// token they were given.
class TokenFleet {
 public:
  TokenFleet() {
    for (auto id = std::uint64_t{1}; id <= kEndpoints; ++id) {
      Put(id, false);
    }
    auto routes = std::make_shared<RouteSet>();
    routes->version = Version(1);
    routes->routes.push_back({kAddress, {{ServiceId(7), 1}}});
    directory_.Publish(routes, now_);
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<TokenRouter>(Settings()));
    }
    Publish();
  }

  void Add() {
    Put(kEndpoints + 1, false);
    Publish();
  }
  void DrainOne() {
    Put(1, true);
    Publish();
  }
  // Replaces an instance by a new one without state.
  void Replace(std::size_t instance) {
    instances_[instance] = std::make_unique<TokenRouter>(Settings());
    instances_[instance]->Update(published_, now_);
  }
  void Advance(Duration time) { now_ += time; }

  auto Send(std::size_t instance, std::uint16_t flow, bool opens)
      -> std::optional<EndpointId> {
    auto packet = TokenPacket();
    packet.caller = {Ipv4Address(0x64400007), Port(flow)};
    packet.service = kAddress;
    packet.opens = opens;
    packet.seq = packet.ack = opens ? 0 : 1;
    packet.token = opens ? WireToken(0) : tokens_[flow];
    const auto action = instances_[instance]->Decide(packet, now_);
    if (const auto* const forward = std::get_if<ForwardWithToken>(&action)) {
      tokens_[flow] = forward->token;
    }
    return EndpointOf(action);
  }

 private:
  static constexpr SocketAddress kAddress{Ipv4Address(0xC6120001), Port(443)};

  static auto Settings() -> TokenRouterSettings {
    return {DataCentreId(1), 1024, InstanceId(1)};
  }
  void Put(std::uint64_t id, bool draining) {
    auto report = EndpointReport();
    report.id = EndpointId(id);
    report.service = ServiceId(7);
    report.data_centre = DataCentreId(1);
    report.draining = draining;
    directory_.Report(report);
  }
  void Publish() {
    published_ = directory_.TakeSnapshot(now_);
    for (const auto& instance : instances_) {
      instance->Update(published_, now_);
    }
  }

  EndpointDirectory directory_;
  std::shared_ptr<const DirectorySnapshot> published_;
  std::vector<std::unique_ptr<TokenRouter>> instances_;
  std::map<std::uint16_t, WireToken> tokens_;
  TimePoint now_ = kStart;
};

// A fleet of instances that keep records. Relays and messages between
// instances arrive at once.
class RecordFleet {
 public:
  RecordFleet() : world_({kEndpoints}, kStart) {
    for (std::size_t i = 0; i < kInstances; ++i) {
      instances_.push_back(std::make_unique<RouterNode>(IdAt(i), now_));
    }
    Advance(seconds(10));
  }

  void Add() {
    world_.Add(now_);
    world_.Publish(now_);
    Advance(kActivationDelay + seconds(1));
  }
  void DrainOne() {
    world_.Drain(0, now_);
    world_.Publish(now_);
    Advance(kActivationDelay + seconds(1));
  }
  void Replace(std::size_t instance) {
    instances_[instance] = std::make_unique<RouterNode>(IdAt(instance), now_);
    Advance(seconds(10));
  }
  void Advance(Duration time) {
    const auto end = now_ + time;
    for (; now_ < end; now_ += milliseconds(200)) {
      for (std::size_t i = 0; i < kInstances; ++i) {
        instances_[i]->Update(world_.config(), ViewOf(i), now_);
        Deliver(i, instances_[i]->OnTick(now_));
      }
    }
  }

  auto Send(std::size_t instance, std::uint16_t flow, bool opens)
      -> std::optional<EndpointId> {
    auto packet = FlowPacket();
    packet.flow = FlowKey(flow);
    packet.destination = world_.config()->services.front()->address;
    packet.opens = opens;
    auto action = instances_[instance]->Decide(packet, now_);
    while (const auto* const relay = std::get_if<RelayToInstance>(&action)) {
      packet.relay = relay->mark;
      const auto next = relay->instance.value() - 1;
      action = instances_[next]->Decide(packet, now_);
    }
    return EndpointOf(action);
  }

 private:
  struct Envelope {
    InstanceId from;
    SendFlowMessage item;
  };

  static auto IdAt(std::size_t index) -> InstanceId {
    return InstanceId(index + 1);
  }
  auto ViewOf(std::size_t index) const -> MemberView {
    auto view = MemberView();
    for (std::size_t i = 0; i < kInstances; ++i) {
      auto member = Member();
      member.id = IdAt(i);
      member.data_centre = DataCentreAt(i);
      view.members.push_back(member);
    }
    view.self = IdAt(index);
    view.data_centre = DataCentreAt(index);
    view.refreshed = now_;
    return view;
  }
  void Deliver(std::size_t from, const FlowActions& actions) {
    auto queue = std::deque<Envelope>();
    const auto add = [&queue](InstanceId sender, const FlowActions& more) {
      for (const auto& item : more) {
        queue.push_back({sender, item});
      }
    };
    add(IdAt(from), actions);
    while (!queue.empty()) {
      const auto envelope = queue.front();
      queue.pop_front();
      auto& receiver = *instances_[envelope.item.to.value() - 1];
      add(envelope.item.to,
          receiver.OnMessage(envelope.from, envelope.item.message, now_));
    }
  }

  FlowWorld world_;
  std::vector<std::unique_ptr<RouterNode>> instances_;
  TimePoint now_ = kStart;
};

// Open flows and their endpoints.
using Placed = std::map<std::uint16_t, EndpointId>;

template <typename Fleet>
auto OpenFlows(Fleet& fleet, std::uint16_t first) -> Placed {
  auto placed = Placed();
  for (auto flow = first; flow < first + kFlows; ++flow) {
    const auto endpoint = fleet.Send(flow % kInstances, flow, true);
    cr_assert(endpoint.has_value());
    placed[flow] = *endpoint;
  }
  return placed;
}

// Expects every instance to forward each flow to its endpoint.
template <typename Fleet>
void ExpectKept(Fleet& fleet, const Placed& placed) {
  for (const auto& [flow, endpoint] : placed) {
    for (std::size_t instance = 0; instance < kInstances; ++instance) {
      const auto now_at = fleet.Send(instance, flow, false);
      cr_assert(now_at.has_value(), "flow %u, instance %zu", flow, instance);
      cr_assert(*now_at == endpoint, "flow %u, instance %zu", flow, instance);
    }
  }
}

template <typename Fleet>
void AnyInstanceTakesAnyPacket() {
  auto fleet = Fleet();
  ExpectKept(fleet, OpenFlows(fleet, 1));
}

template <typename Fleet>
void FlowsStayWhenAnEndpointIsAdded() {
  auto fleet = Fleet();
  const auto placed = OpenFlows(fleet, 1);
  ExpectKept(fleet, placed);
  fleet.Add();
  ExpectKept(fleet, placed);
}

template <typename Fleet>
void FlowsStayAtADrainingEndpoint() {
  auto fleet = Fleet();
  const auto placed = OpenFlows(fleet, 1);
  ExpectKept(fleet, placed);
  fleet.DrainOne();
  ExpectKept(fleet, placed);
  auto endpoints_after = std::map<EndpointId, int>();
  for (const auto& [flow, endpoint] : OpenFlows(fleet, 1000)) {
    ++endpoints_after[endpoint];
  }
  cr_assert_eq(endpoints_after.size(), kEndpoints - 1);
}

template <typename Fleet>
void FlowsOutliveAnInstance() {
  auto fleet = Fleet();
  const auto placed = OpenFlows(fleet, 1);
  ExpectKept(fleet, placed);
  fleet.Add();
  ExpectKept(fleet, placed);
  fleet.Replace(1);
  ExpectKept(fleet, placed);
}

Test(flow_affinity, tokens_any_instance_takes_any_packet) {
  AnyInstanceTakesAnyPacket<TokenFleet>();
}
Test(flow_affinity, records_any_instance_takes_any_packet) {
  AnyInstanceTakesAnyPacket<RecordFleet>();
}
Test(flow_affinity, tokens_flows_stay_when_an_endpoint_is_added) {
  FlowsStayWhenAnEndpointIsAdded<TokenFleet>();
}
Test(flow_affinity, records_flows_stay_when_an_endpoint_is_added) {
  FlowsStayWhenAnEndpointIsAdded<RecordFleet>();
}
Test(flow_affinity, tokens_flows_stay_at_a_draining_endpoint) {
  FlowsStayAtADrainingEndpoint<TokenFleet>();
}
Test(flow_affinity, records_flows_stay_at_a_draining_endpoint) {
  FlowsStayAtADrainingEndpoint<RecordFleet>();
}
Test(flow_affinity, tokens_flows_outlive_an_instance) {
  FlowsOutliveAnInstance<TokenFleet>();
}
Test(flow_affinity, records_flows_outlive_an_instance) {
  FlowsOutliveAnInstance<RecordFleet>();
}

}  // namespace
}  // namespace hemlockwick
