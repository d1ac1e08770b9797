#include "Measure/token_world.h"

#include <algorithm>
#include <cmath>
#include <type_traits>
#include <utility>
#include <variant>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(500'000)};

// One way between callers and instances, and between instances and endpoints.
constexpr Duration kCallerWay = milliseconds(3);
constexpr Duration kEndpointWay = milliseconds(1);

constexpr Duration kFirstCopy = milliseconds(200);
constexpr Duration kSecondCopy = milliseconds(600);
constexpr Duration kGiveUpOpening = milliseconds(1400);
constexpr Duration kResend = milliseconds(200);
constexpr Duration kLongestResend = milliseconds(1600);

constexpr Duration kTick = milliseconds(20);
// Reports to a relay and back.
constexpr Duration kSignInterval = milliseconds(100);
// Time between two reports of replies, and at most from one to its receiver.
constexpr Duration kSpeedInterval = seconds(1);
// How long the platform lists an endpoint that says nothing.
constexpr Duration kListingTime = milliseconds(3600);
// Time in which faulty endpoints are to be found out: dark ones by the callers'
// second copies, others by requests that are unanswered for a second.
constexpr Duration kDarkGrace = seconds(1);
constexpr Duration kFailingGrace = milliseconds(2500);
// Share of requests that a mute or resetting endpoint does not answer.
constexpr double kFailingShare = 0.6;

// Time in which standing flows are opened.
constexpr Duration kOpeningTime = seconds(1);
// Callers acknowledge every second packet, a lone one after this time.
constexpr Duration kAcknowledgementDelay = milliseconds(40);

constexpr std::uint16_t kRequestBytes = 100;
constexpr std::uint32_t kAnswerBytes = 2000;

template <typename Router>
auto MakeRouter(const PlacementInputs& inputs) -> std::unique_ptr<Router> {
  if constexpr (std::is_same_v<Router, TokenRouter>) {
    return std::make_unique<TokenRouter>(
        TokenRouterSettings{.data_centre = inputs.data_centre,
                            .instance = inputs.instance,
                            .learns_capacity = inputs.learns_capacity});
  } else {
    return std::make_unique<Router>(inputs);
  }
}

// Round trips of an opening and of a request.
constexpr Duration kRoundTrips = 4 * (kCallerWay + kEndpointWay);

static_assert(FlowAffinity<RivalRouter<HashPlacement>>);
static_assert(FlowAffinity<RivalRouter<OraclePlacement>>);

}  // namespace

template <typename Router>
TokenWorld<Router>::TokenWorld(const TokenPattern& pattern, std::uint64_t seed,
                               bool learns_capacity)
    : pattern_(pattern),
      random_(seed),
      events_(kStart),
      end_(kStart + pattern.length),
      fleet_(pattern, kStart),
      instances_(pattern.data_centres.size()) {
  auto next = std::uint64_t{1};
  for (const auto data_centre :
       SpreadOver(pattern_.data_centres, &PatternDataCentre::instances)) {
    instances_[data_centre.value() - 1].push_back(
        MakeRouter<Router>({InstanceId(next++), data_centre, learns_capacity,
                            fleet_.endpoints()}));
  }
  Publish();
}

template <typename Router>
template <typename Visit>
void TokenWorld<Router>::ForEachInstance(Visit&& visit) {
  for (const auto& data_centre : instances_) {
    for (const auto& instance : data_centre) {
      visit(*instance);
    }
  }
}

template <typename Router>
auto TokenWorld<Router>::Run() -> TokenOutcome {
  for (const auto& kind : pattern_.kinds) {
    ScheduleStandingFlows(kind);
    ScheduleArrival(kind);
  }
  ScheduleTicks();
  ScheduleFault();
  events_.Run();
  CountEndpoints();
  return outcome_;
}

template <typename Router>
auto TokenWorld<Router>::IsCounted(TimePoint time) const -> bool {
  return time >= kStart + pattern_.counts_from;
}

template <typename Router>
void TokenWorld<Router>::CountEndpoints() {
  for (const auto id : fleet_.Served()) {
    outcome_.runs.push_back(fleet_.at(id).runs());
    outcome_.openings.push_back(openings_[id]);
    outcome_.speeds.push_back(fleet_.at(id).speed());
  }
}

template <typename Router>
void TokenWorld<Router>::ScheduleArrival(const PatternKind& kind) {
  const auto at = now() + DrawArrival(pattern_, kind, now() - kStart, random_);
  if (at >= end_) {
    return;
  }
  At(at, [this, &kind] {
    StartFlow(kind, kind.requests_per_flow, now());
    ScheduleArrival(kind);
  });
}

// As many flows as carry the load, each somewhere in its life.
template <typename Router>
void TokenWorld<Router>::ScheduleStandingFlows(const PatternKind& kind) {
  for (auto left = StandingFlows(pattern_, kind); left > 0; --left) {
    const auto requests =
        static_cast<std::uint32_t>(1 + random_.Below(kind.requests_per_flow));
    At(kStart + random_.DurationBelow(kOpeningTime),
       [this, &kind, requests] { StartFlow(kind, requests, now()); });
  }
}

template <typename Router>
void TokenWorld<Router>::ScheduleTicks() {
  for (auto at = kStart; at < end_; at += kTick) {
    At(at, [this] {
      ForEachInstance(
          [this](Router& instance) { TakeResets(instance.OnTick(now())); });
    });
  }
  for (auto at = kStart; at < end_; at += kSignInterval) {
    At(at, [this] {
      ShareSigns();
      ReportReplies();
    });
  }
  for (auto at = kStart; at < end_; at += kSpeedInterval) {
    At(at, [this] { ShareSpeeds(); });
  }
}

template <typename Router>
void TokenWorld<Router>::ScheduleFault() {
  for (const auto& change : pattern_.speeds) {
    At(kStart + change.at,
       [this, time = change.at] { fleet_.SetSpeeds(time); });
  }
  const auto begin = kStart + pattern_.fault_at;
  switch (pattern_.fault) {
    case PatternFault::kNone:
      break;
    case PatternFault::kCut:
      At(begin, [this] { fleet_.BeginCut(); });
      At(begin + pattern_.fault_time, [this] { fleet_.EndCut(); });
      break;
    case PatternFault::kRelease:
      ScheduleRelease();
      break;
    case PatternFault::kDark:
      At(begin + kListingTime, [this] {
        fleet_.EndListing(now());
        Publish();
      });
      [[fallthrough]];
    default:
      At(begin, [this] { fleet_.BeginFault(); });
  }
}

template <typename Router>
void TokenWorld<Router>::ScheduleRelease() {
  auto at = kStart + pattern_.fault_at;
  for (std::size_t i = 0; i < pattern_.faulty_endpoints; ++i) {
    At(at, [this, i] {
      fleet_.Replace(i, now());
      Publish();
    });
    at += pattern_.fault_time;
  }
}

template <typename Router>
void TokenWorld<Router>::Publish() {
  const auto snapshot = fleet_.TakeSnapshot(now());
  ForEachInstance(
      [&](Router& instance) { TakeResets(instance.Update(snapshot, now())); });
}

template <typename Router>
void TokenWorld<Router>::ShareSigns() {
  auto reporter = std::uint64_t{1};
  ForEachInstance([&](Router& instance) {
    signs_.Report(InstanceId(reporter++), instance.TakeObservations(), now());
  });
  const auto suspects = signs_.Suspects(now());
  ForEachInstance(
      [&](Router& instance) { instance.ApplySharedSuspects(suspects, now()); });
}

// Relays forward the replies that are reported to them once a second.
template <typename Router>
void TokenWorld<Router>::ReportReplies() {
  ForEachInstance([this](Router& instance) {
    auto replies = instance.TakeReplySummaries(now());
    if (!replies.empty()) {
      After(random_.DurationBelow(kSpeedInterval),
            [this, replies = std::move(replies)] {
              speeds_.Add(replies, now());
            });
    }
  });
}

// Speeds come with the responses of a relay, once a second.
template <typename Router>
void TokenWorld<Router>::ShareSpeeds() {
  const auto speeds = std::make_shared<std::vector<SharedSpeed>>();
  *speeds = speeds_.Speeds(now());
  auto position = std::uint64_t{0};
  ForEachInstance([&](Router& instance) {
    constexpr std::uint64_t kSteps = 1000;
    const auto way =
        kSpeedInterval * (MixWords(position++, kSteps) % kSteps) / kSteps;
    After(way, [this, speeds, &instance] {
      instance.ApplySharedSpeeds(*speeds, now());
    });
  });
}

template <typename Router>
void TokenWorld<Router>::TakeResets(const std::vector<ResetFlow>& resets) {
  for (const auto& reset : resets) {
    const auto id = FlowOf(reset.caller);
    After(kCallerWay, [this, id] { OnReset(id); });
  }
}

template <typename Router>
void TokenWorld<Router>::StartFlow(const PatternKind& kind,
                                   std::uint32_t requests, TimePoint asked,
                                   bool disturbed) {
  const auto id = next_flow_++;
  auto& flow = flows_[id];
  flow.kind = &kind;
  flow.requests_left = requests;
  flow.asked = asked;
  flow.answered = false;
  flow.disturbed = disturbed;
  SendOpening(id, 0);
  After(kFirstCopy, [this, id] { SendOpening(id, 1); });
  After(kSecondCopy, [this, id] { SendOpening(id, 2); });
  After(kGiveUpOpening, [this, id] {
    const auto found = flows_.find(id);
    if (found != flows_.end() && !found->second.open) {
      OnReset(id);
    }
  });
  At(asked + kind.deadline, [this, id] { Expire(id, 0); });
}

template <typename Router>
void TokenWorld<Router>::SendOpening(std::uint64_t id, std::uint32_t copy) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.open) {
    return;
  }
  After(kCallerWay, [this, id, copy] {
    const auto flow = flows_.find(id);
    if (flow == flows_.end()) {
      return;
    }
    flow->second.disturbed = flow->second.disturbed || copy > 0;
    auto packet = PacketOf(id, flow->second);
    packet.opens = true;
    packet.ack = copy;
    const auto forward = DecideFor(id, packet);
    if (!forward) {
      return;
    }
    const auto& endpoint = fleet_.at(forward->endpoint);
    CountOpening(forward->endpoint);
    if (!endpoint.is_dark() && IsReachable(id, forward->endpoint)) {
      After(kEndpointWay + kCallerWay,
            [this, id, opening = *forward] { OnOpened(id, opening); });
    }
  });
}

// What the flow's instance forwards; a reset goes back to the caller.
template <typename Router>
auto TokenWorld<Router>::DecideFor(std::uint64_t id, const TokenPacket& packet)
    -> std::optional<ForwardWithToken> {
  const auto action = InstanceOf(id).Decide(packet, now());
  if (std::holds_alternative<ResetFlow>(action)) {
    After(kCallerWay, [this, id] { OnReset(id); });
  }
  const auto* const forward = std::get_if<ForwardWithToken>(&action);
  return forward == nullptr ? std::nullopt : std::optional(*forward);
}

template <typename Router>
void TokenWorld<Router>::CountOpening(EndpointId id) {
  const auto& endpoint = fleet_.at(id);
  openings_[id] += IsCounted(now()) ? 1 : 0;
  const auto is_dark = pattern_.fault == PatternFault::kDark;
  const auto grace = is_dark ? kDarkGrace : kFailingGrace;
  if (!MakesFail(pattern_.fault) ||
      now() < kStart + pattern_.fault_at + grace) {
    return;
  }
  ++outcome_.flows_since_found;
  outcome_.flows_to_faulty += MakesFail(endpoint.fault()) ? 1 : 0;
}

template <typename Router>
void TokenWorld<Router>::OnOpened(std::uint64_t id,
                                  const ForwardWithToken& opening) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.open) {
    return;
  }
  found->second.open = true;
  found->second.token = opening.token;
  found->second.endpoint = opening.endpoint;
  SendData(id, 0, kResend);
}

template <typename Router>
void TokenWorld<Router>::BeginRequest(std::uint64_t id) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    return;
  }
  auto& flow = found->second;
  flow.asked = now();
  flow.answered = false;
  flow.disturbed = false;
  const auto request = flow.request;
  SendData(id, request, kResend);
  At(now() + flow.kind->deadline, [this, id, request] { Expire(id, request); });
}

template <typename Router>
void TokenWorld<Router>::SendData(std::uint64_t id, std::uint32_t request,
                                  Duration resend) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.answered ||
      found->second.request != request) {
    return;
  }
  const auto is_first = resend == kResend;
  After(kCallerWay, [this, id, request, is_first] {
    const auto flow = flows_.find(id);
    if (flow == flows_.end()) {
      return;
    }
    auto packet = PacketOf(id, flow->second);
    packet.data_bytes = kRequestBytes;
    const auto forward = DecideFor(id, packet);
    if (!forward || !is_first) {
      return;
    }
    Deliver(id, request, forward->endpoint);
  });
  const auto next = std::min(resend * 2, kLongestResend);
  After(resend, [this, id, request, next] { SendData(id, request, next); });
}

// The endpoint receives a request of the flow.
template <typename Router>
void TokenWorld<Router>::Deliver(std::uint64_t id, std::uint32_t request,
                                 EndpointId to) {
  auto& endpoint = fleet_.at(to);
  auto& flow = flows_.at(id);
  const auto is_mute =
      endpoint.fault() == PatternFault::kMute && random_.Chance(kFailingShare);
  if (endpoint.is_dark() || is_mute || !IsReachable(id, to)) {
    flow.disturbed = true;
    return;
  }
  if (endpoint.fault() == PatternFault::kResetting &&
      random_.Chance(kFailingShare)) {
    After(kEndpointWay + kCallerWay, [this, id] { OnReset(id); });
    return;
  }
  auto work = DrawWork(*flow.kind, random_);
  work.flow = id;
  work.request = request;
  work.arrived = now();
  work.idle_elsewhere = fleet_.HasIdleSlotBeside(to);
  RunAt(to, endpoint.Accept(work, now()));
}

template <typename Router>
void TokenWorld<Router>::RunAt(EndpointId id,
                               const std::optional<PatternWork>& work) {
  if (!work) {
    return;
  }
  if (!work->is_long) {
    outcome_.short_waits.push_back(work->waited);
  }
  After(work->work, [this, id, done = *work] {
    auto& endpoint = fleet_.at(id);
    if (endpoint.is_dark()) {
      return;
    }
    After(kEndpointWay + kCallerWay,
          [this, id, done] { OnAnswer(done, fleet_.at(id).is_draining()); });
    RunAt(id, endpoint.Finish(now()));
  });
}

// The caller receives an answer; its endpoint ends the flow when it drains.
template <typename Router>
void TokenWorld<Router>::OnAnswer(const PatternWork& work, bool ends_flow) {
  const auto found = flows_.find(work.flow);
  if (found == flows_.end() || found->second.request != work.request) {
    return;
  }
  auto& flow = found->second;
  CountAnswered(flow, work);
  flow.ack += kAnswerBytes;
  flow.seq += kRequestBytes;
  flow.answered = true;
  ++flow.request;
  const auto& kind = *flow.kind;
  const auto requests_left = --flow.requests_left;
  const auto ends = ends_flow || requests_left == 0;
  const auto is_delayed = !ends && random_.Chance(kind.one_packet_share);
  After(is_delayed ? kAcknowledgementDelay : Duration(0),
        [this, id = work.flow, ends] { SendAcknowledgement(id, ends); });
  if (requests_left == 0) {
    return;
  }
  const auto pause = random_.Exponential(kind.pause);
  if (ends) {
    After(pause, [this, &kind, requests_left] {
      StartFlow(kind, requests_left, now());
    });
  } else {
    After(pause, [this, id = work.flow] { BeginRequest(id); });
  }
}

template <typename Router>
void TokenWorld<Router>::SendAcknowledgement(std::uint64_t id, bool finishes) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    return;
  }
  auto packet = PacketOf(id, found->second);
  packet.finishes = finishes;
  if (finishes) {
    flows_.erase(found);
  }
  After(kCallerWay,
        [this, id, packet] { InstanceOf(id).Decide(packet, now()); });
}

// The caller's flow has ended without an answer: what is left of it goes to a
// new flow.
template <typename Router>
void TokenWorld<Router>::OnReset(std::uint64_t id) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    return;
  }
  const auto flow = found->second;
  flows_.erase(found);
  CountReset(id, flow);
  const auto asked = flow.answered ? now() : flow.asked;
  if (flow.open && !flow.answered && !flow.kind->idempotent) {
    CountFailed(flow);
  } else if (now() < asked + flow.kind->deadline) {
    StartFlow(*flow.kind, flow.requests_left, asked, true);
  }
}

template <typename Router>
void TokenWorld<Router>::Expire(std::uint64_t id, std::uint32_t request) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.answered ||
      found->second.request != request) {
    return;
  }
  CountFailed(found->second);
  flows_.erase(found);
}

template <typename Router>
void TokenWorld<Router>::CountRequest(const Flow& flow) {
  ++outcome_.requests;
  outcome_.counted += IsCounted(flow.asked) ? 1 : 0;
}

template <typename Router>
void TokenWorld<Router>::CountMiss(const Flow& flow, MissCause cause) {
  outcome_.CountMiss(cause);
  const auto is_wait = cause != MissCause::kLongWork;
  outcome_.counted_waits += is_wait && IsCounted(flow.asked) ? 1 : 0;
}

template <typename Router>
void TokenWorld<Router>::CountAnswered(const Flow& flow,
                                       const PatternWork& work) {
  CountRequest(flow);
  if (now() - flow.asked <= flow.kind->aim) {
    return;
  }
  ++outcome_.late;
  CountMiss(flow,
            CauseOfDelay(work, kRoundTrips, flow.kind->aim, flow.disturbed));
}

template <typename Router>
void TokenWorld<Router>::CountReset(std::uint64_t id, const Flow& flow) {
  if (!flow.open || !IsReachable(id, flow.endpoint)) {
    return;
  }
  const auto& endpoint = fleet_.at(flow.endpoint);
  const auto serves =
      endpoint.fault() == PatternFault::kNone && !endpoint.is_draining();
  outcome_.broken_flows += serves ? 1 : 0;
}

template <typename Router>
void TokenWorld<Router>::CountFailed(const Flow& flow) {
  CountRequest(flow);
  ++outcome_.failed;
  CountMiss(flow, flow.disturbed ? MissCause::kUnreachable : MissCause::kOther);
}

template <typename Router>
auto TokenWorld<Router>::PacketOf(std::uint64_t id, const Flow& flow) const
    -> TokenPacket {
  auto packet = TokenPacket();
  packet.caller = CallerOf(id);
  packet.service = kPatternAddress;
  packet.seq = flow.seq;
  packet.ack = flow.ack;
  packet.token = flow.token;
  return packet;
}

template <typename Router>
auto TokenWorld<Router>::InstanceOf(std::uint64_t id) -> Router& {
  constexpr std::uint64_t kSeed = 0x726F757465;
  const auto& near = instances_[CallerDataCentre(pattern_, id)];
  return *near[MixWords(id, kSeed) % near.size()];
}

template <typename Router>
auto TokenWorld<Router>::IsReachable(std::uint64_t id, EndpointId to) -> bool {
  return fleet_.IsReachable(DataCentreAt(CallerDataCentre(pattern_, id)), to);
}

template class TokenWorld<TokenRouter>;
template class TokenWorld<RivalRouter<HashPlacement>>;
template class TokenWorld<RivalRouter<OraclePlacement>>;

}  // namespace hemlockwick
