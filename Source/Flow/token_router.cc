#include "Flow/token_router.h"

#include <utility>
#include <variant>

namespace hemlockwick {

namespace {

// Time for which a token that is not in the directory may belong to an endpoint
// that the directory does not know yet.
constexpr Duration kUnknownTokenTimeout = std::chrono::milliseconds(2500);

// For this long after an endpoint has departed, no flow of one that has started
// again under its id has come here from another instance. Callers with open
// requests retransmit after 200 and 600 ms, so that their flows are reset in
// this time.
constexpr Duration kMinRestartTime = std::chrono::seconds(1);

// Flows whose endpoint has departed are remembered for this long after their
// last packet: the longest time for which a flow stays open.
constexpr Duration kDepartedFlowRetention = std::chrono::seconds(60);

// Time for which an instance may lack a route that another instance knows. A
// new configuration is in force everywhere within this time.
constexpr Duration kUnknownRouteTimeout = std::chrono::seconds(3);

// Time for which copies of an opening follow the first one into a data centre
// that has been evacuated since. Callers retransmit after 200 ms and 600 ms.
constexpr Duration kEvacuatedCopyTime = std::chrono::seconds(1);

// Callers that wait for a reply retransmit more often than this.
constexpr Duration kMaxPacketInterval = std::chrono::seconds(5);

}  // namespace

TokenRouter::TokenRouter(const TokenRouterSettings& settings)
    : settings_(settings),
      tracker_(settings.instance, settings.tracked_flows, events_,
               settings.learns_capacity),
      cold_starts_(settings.instance, settings.cold_start),
      unknown_tokens_(kMaxPacketInterval),
      flows_without_route_(kMaxPacketInterval),
      departed_flows_(kDepartedFlowRetention) {}

auto TokenRouter::Update(std::shared_ptr<const DirectorySnapshot> directory,
                         TimePoint now) -> std::vector<ResetFlow> {
  const auto previous = std::exchange(directory_, std::move(directory));
  auto resets = std::vector<ResetFlow>();
  for (const auto& departed : directory_->departed()) {
    const auto was_departed = previous != nullptr &&
                              previous->FindDeparted(departed.token) != nullptr;
    if (was_departed) {
      continue;
    }
    // A present endpoint with the token may have the flows.
    const auto is_shared = directory_->Find(departed.token) != nullptr;
    if (is_shared || !HasEnded(departed, now)) {
      continue;
    }
    auto ended = tracker_.ResetDeparted(departed.token);
    for (const auto& reset : ended) {
      departed_flows_.SeeSince({reset.caller, reset.service},
                               now - kDepartedFlowRetention, now);
    }
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  unknown_tokens_.ForgetIf(
      [this](FlowToken token) { return directory_->Find(token) != nullptr; });
  flows_without_route_.ForgetIf([this](const FlowId& flow) {
    return directory_->FindRoute(flow.service) != nullptr;
  });
  return resets;
}

auto TokenRouter::Decide(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (directory_ == nullptr) {
    return Drop(packet, DropReason::kNotReady);
  }
  const auto* const route = directory_->FindRoute(packet.service);
  if (route == nullptr) {
    return DecideWithoutRoute(packet, now);
  }
  if (packet.opens) {
    return Open(packet, *route, now);
  }
  const auto owner = tracker_.CorrectedToken(packet);
  if (!owner) {
    return Continue(packet, *route, now);
  }
  auto corrected = packet;
  corrected.token = ToWire(*owner, packet.service);
  return Continue(corrected, *route, now);
}

auto TokenRouter::Open(const TokenPacket& packet, const Route& route,
                       TimePoint now) -> TokenAction {
  const auto earlier = tracker_.OnOpening(packet, now);
  const auto* const endpoint = SelectEndpoint(packet, route, earlier, now);
  if (endpoint == nullptr) {
    tracker_.OnEnded(FlowIdOf(packet));
    return RefuseOpening(packet, route);
  }
  CountOpening(*endpoint, earlier, now);
  tracker_.OnOpeningForwarded(packet, endpoint->token, now);
  const auto& stats = tracker_.StatsOf(endpoint->token, now);
  events_.Add({.kind = RouterEvent::Kind::kFlowOpened,
               .caller = packet.caller,
               .service = packet.service,
               .token = endpoint->token,
               .copy = packet.ack,
               .unanswered_packets = stats.health.unanswered_packets(),
               .waiting = stats.waiting_flows});
  return ForwardWithToken{endpoint->report.id, endpoint->report.address,
                          ToWire(endpoint->token, packet.service)};
}

// Refuses an opening for which there is no endpoint. While the directory is not
// settled a missing endpoint may return, unless all are in evacuated data
// centres.
auto TokenRouter::RefuseOpening(const TokenPacket& packet, const Route& route)
    -> TokenAction {
  const auto service = SelectService(route, FlowKeyOf(FlowIdOf(packet)));
  if (directory_->IsEvacuated(service)) {
    return Reset(packet, ResetReason::kEvacuated, Duration(0));
  }
  if (selector_.was_diverted()) {
    return Reset(packet, ResetReason::kColdEndpoints, Duration(0));
  }
  return directory_->is_settled()
             ? Reset(packet, ResetReason::kNoEndpoint, Duration(0))
             : Drop(packet, DropReason::kNoEndpoint);
}

// The endpoint of an earlier copy of an opening, if a further copy may go there
// too; otherwise null.
auto TokenRouter::EndpointOf(const EarlierCopy& earlier, const Route& route,
                             TimePoint now) const -> const DirectoryEndpoint* {
  const auto resolved = directory_->Resolve(earlier.endpoint, route, now);
  const auto* const present = std::get_if<const DirectoryEndpoint*>(&resolved);
  if (present == nullptr || !(*present)->accepts_new_flows ||
      !IsTarget(route, (*present)->report.service)) {
    return nullptr;
  }
  const auto evacuated =
      directory_->EvacuatedSince((*present)->report.data_centre);
  return evacuated && now - *evacuated >= kEvacuatedCopyTime ? nullptr
                                                             : *present;
}

// Counts an opening that is forwarded to a cold endpoint, once for all copies.
void TokenRouter::CountOpening(const DirectoryEndpoint& endpoint,
                               const std::optional<EarlierCopy>& earlier,
                               TimePoint now) {
  const auto is_copy = earlier && earlier->endpoint == endpoint.token;
  if (is_copy) {
    return;
  }
  diverted_openings_ += selector_.was_diverted() ? 1 : 0;
  if (now < endpoint.report.cold_until) {
    cold_starts_.OnOpened(
        endpoint.token,
        directory_->ColdOpeningsPerSecond(endpoint.report.service), now);
  }
}

// Selects the endpoint of an opening; null when there is none. A copy goes to
// the endpoint of the earlier one as long as that may have accepted it: a flow
// that two endpoints have accepted may be diverted by either. Nor does it go to
// one that leaves openings unanswered itself: replies may be late for all.
auto TokenRouter::SelectEndpoint(const TokenPacket& packet, const Route& route,
                                 const std::optional<EarlierCopy>& earlier,
                                 TimePoint now) -> const DirectoryEndpoint* {
  const auto* const before =
      earlier ? EndpointOf(*earlier, route, now) : nullptr;
  if (before != nullptr && earlier->may_be_accepted) {
    return before;
  }
  const auto tried = earlier ? earlier->endpoint : kNoToken;
  const auto* const selected = selector_.Select(
      *directory_, tracker_.endpoint_stats(),
      {FlowKeyOf(FlowIdOf(packet)), route, settings_.data_centre, tried,
       &cold_starts_, settings_.learns_capacity ? &capacity_ : nullptr},
      now);
  if (before != nullptr && selected != nullptr &&
      tracker_.IsSuspect(selected->token, now)) {
    return before;
  }
  // The endpoint of the earlier copy may have accepted the flow before its data
  // centre was evacuated, so a reset may end an open flow.
  const auto is_evacuated =
      before != nullptr &&
      directory_->EvacuatedSince(before->report.data_centre).has_value();
  return selected == nullptr && is_evacuated ? before : selected;
}

auto TokenRouter::Continue(const TokenPacket& packet, const Route& route,
                           TimePoint now) -> TokenAction {
  const auto resolved = directory_->Resolve(TokenOf(packet), route, now);
  if (const auto* const present =
          std::get_if<const DirectoryEndpoint*>(&resolved)) {
    return Forward(packet, (*present)->report, route, now);
  }
  if (const auto* const departed =
          std::get_if<const DepartedEndpoint*>(&resolved)) {
    return DecideDeparted(packet, **departed, route, now);
  }
  if (std::holds_alternative<ForeignEndpoint>(resolved)) {
    return Drop(packet, DropReason::kForeignEndpoint);
  }
  return DecideUnknown(packet, now);
}

auto TokenRouter::Forward(const TokenPacket& packet,
                          const EndpointReport& endpoint, const Route& route,
                          TimePoint now) -> TokenAction {
  const auto silent_for =
      tracker_.OnPacket(packet, TokenOf(packet), route.idempotent, now);
  if (silent_for) {
    return Reset(packet, ResetReason::kSilent, *silent_for);
  }
  return ForwardWithToken{endpoint.id, endpoint.address, packet.token};
}

// Whether a departed endpoint has stopped. It may only be disconnected from the
// platform and still serve its flows. One that was draining is expected to
// leave: only answers after its entry has gone show that it has not.
auto TokenRouter::HasEnded(const DepartedEndpoint& endpoint,
                           TimePoint now) const -> bool {
  if (!tracker_.IsAlive(endpoint.token, now)) {
    return true;
  }
  return endpoint.report.draining &&
         !tracker_.HasAnsweredAfter(endpoint.token, endpoint.missing_since);
}

auto TokenRouter::DecideDeparted(const TokenPacket& packet,
                                 const DepartedEndpoint& endpoint,
                                 const Route& route, TimePoint now)
    -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  if (!HasEnded(endpoint, now)) {
    return Forward(packet, endpoint.report, route, now);
  }
  if (MayHaveRestarted(packet, endpoint, now)) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  return Reset(packet, ResetReason::kDeparted, now - endpoint.since);
}

// Whether the packet may be of an endpoint that has started again under the id
// of the departed one: another instance knows it, and the flow was opened
// there. A flow that this instance has forwarded is older. Another one is reset
// only when this instance has had the time to learn of the endpoint too.
auto TokenRouter::MayHaveRestarted(const TokenPacket& packet,
                                   const DepartedEndpoint& endpoint,
                                   TimePoint now) -> bool {
  const auto flow = FlowIdOf(packet);
  const auto is_older =
      now - endpoint.since < kMinRestartTime || tracker_.IsTracked(flow);
  // Recorded for an older flow too: the reset may be lost, and with it the flow
  // is no longer tracked.
  const auto since = is_older ? now - kDepartedFlowRetention : now;
  const auto age = departed_flows_.SeeSince(flow, since, now);
  const auto has_ended =
      age >= kDepartedFlowRetention ||
      (age >= kUnknownTokenTimeout && directory_->is_settled());
  return !has_ended;
}

// Decides a packet with a token that matches no endpoint known to this
// instance.
auto TokenRouter::DecideUnknown(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  const auto age = unknown_tokens_.See(TokenOf(packet), now);
  if (age >= kUnknownTokenTimeout && directory_->is_settled()) {
    return Reset(packet, ResetReason::kUnknown, age);
  }
  return Drop(packet, DropReason::kUnknownEndpoint);
}

// Decides a packet to an address that has no route. A new flow is refused, and
// so is one that this instance has forwarded: its route was removed. Another
// open flow comes from an instance that knows the route. It is reset only when
// this instance has had the time to learn of the route too.
auto TokenRouter::DecideWithoutRoute(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (packet.opens) {
    return Reset(packet, ResetReason::kNoRoute, Duration(0));
  }
  const auto flow = FlowIdOf(packet);
  const auto is_removed = tracker_.IsTracked(flow);
  // Recorded for a removed route too: the reset may be lost, and with it the
  // flow is no longer tracked.
  const auto since = is_removed ? now - kUnknownRouteTimeout : now;
  const auto age = flows_without_route_.SeeSince(flow, since, now);
  if (age >= kUnknownRouteTimeout && (is_removed || directory_->is_settled())) {
    return Reset(packet, ResetReason::kNoRoute, age);
  }
  return Drop(packet, DropReason::kUnknownService);
}

auto TokenRouter::Reset(const TokenPacket& packet, ResetReason reason,
                        Duration age) -> TokenAction {
  if (packet.resets) {
    return DropPacket{DropReason::kUnknownService};
  }
  tracker_.OnEnded(FlowIdOf(packet));
  events_.Add({.kind = RouterEvent::Kind::kFlowReset,
               .caller = packet.caller,
               .service = packet.service,
               .token = TokenOf(packet),
               .age = age,
               .detail = ToString(reason)});
  const auto seq = packet.opens ? 0 : packet.ack;
  return ResetFlow{packet.caller, packet.service, seq, reason};
}

auto TokenRouter::Drop(const TokenPacket& packet, DropReason reason)
    -> TokenAction {
  events_.Add({.kind = RouterEvent::Kind::kPacketDropped,
               .caller = packet.caller,
               .service = packet.service,
               .token = TokenOf(packet),
               .detail = ToString(reason)});
  return DropPacket{reason};
}

auto TokenRouter::OnTick(TimePoint now) -> std::vector<ResetFlow> {
  return tracker_.OnTick(directory_.get(), now);
}

void TokenRouter::ApplySharedSuspects(
    const std::vector<SharedSuspect>& suspects, TimePoint now) {
  if (directory_ != nullptr) {
    tracker_.ApplySharedSuspects(suspects, *directory_, now);
  }
}

auto TokenRouter::TakeReplySummaries(TimePoint now)
    -> std::vector<ReplySummary> {
  return tracker_.TakeReplySummaries(now);
}

void TokenRouter::ApplySharedSpeeds(const std::vector<SharedSpeed>& speeds,
                                    TimePoint now) {
  capacity_.Apply(speeds, now);
}

}  // namespace hemlockwick
