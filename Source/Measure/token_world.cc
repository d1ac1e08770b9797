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
constexpr ServiceId kService{7};
constexpr SocketAddress kAddress{Ipv4Address(0xC6120001), Port(443)};
constexpr std::uint32_t kCallerNetwork = 0x64400000;

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
// How long the platform lists an endpoint that says nothing.
constexpr Duration kListingTime = milliseconds(3600);
// Time in which faulty endpoints are to be found out: dark ones by the callers'
// second copies, others by requests that are unanswered for a second.
constexpr Duration kDarkGrace = seconds(1);
constexpr Duration kFailingGrace = milliseconds(2500);
// Share of requests that a mute or resetting endpoint does not answer.
constexpr double kFailingShare = 0.6;

constexpr std::uint16_t kRequestBytes = 100;
constexpr std::uint32_t kAnswerBytes = 2000;

// Spread of the usual work about its median (the standard deviation of its
// logarithm), share of long requests, and how much longer they are.
constexpr double kWorkSpread = 0.5;
constexpr double kLongShare = 0.03;
constexpr double kLongFactor = 7;

auto ShareOf(std::size_t part, std::size_t whole) -> double {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

auto DataCentreOf(std::size_t index, const TokenPattern& pattern)
    -> DataCentreId {
  return DataCentreId(1 + index % pattern.data_centres);
}

auto CallerOf(std::uint64_t flow) -> SocketAddress {
  constexpr auto kPortBits = 16;
  return {Ipv4Address(kCallerNetwork +
                      static_cast<std::uint32_t>(flow >> kPortBits)),
          Port(static_cast<std::uint16_t>(flow))};
}

auto FlowOf(const SocketAddress& caller) -> std::uint64_t {
  constexpr auto kPortBits = 16;
  return (static_cast<std::uint64_t>(caller.ip.value() - kCallerNetwork)
          << kPortBits) |
         caller.port.value();
}

template <typename Router>
auto MakeRouter(const PlacementInputs& inputs) -> std::unique_ptr<Router> {
  if constexpr (std::is_same_v<Router, TokenRouter>) {
    return std::make_unique<TokenRouter>(TokenRouterSettings{
        .data_centre = inputs.data_centre, .instance = inputs.instance});
  } else {
    return std::make_unique<Router>(inputs);
  }
}

static_assert(FlowAffinity<RivalRouter<HashPlacement>>);
static_assert(FlowAffinity<RivalRouter<OraclePlacement>>);

}  // namespace

auto TokenOutcome::missed_share() const -> double {
  return ShareOf(late + failed, requests);
}
auto TokenOutcome::failed_share() const -> double {
  return ShareOf(failed, requests);
}
auto TokenOutcome::faulty_share() const -> double {
  return ShareOf(flows_to_faulty, flows_since_found);
}

auto NoWorseBound(const TokenOutcome& own, const TokenOutcome& rival)
    -> double {
  constexpr double kDeviations = 3;
  const auto variance =
      own.missed_share() / static_cast<double>(own.requests) +
      rival.missed_share() / static_cast<double>(rival.requests);
  return rival.missed_share() + kDeviations * std::sqrt(variance);
}

template <typename Router>
TokenWorld<Router>::TokenWorld(const TokenPattern& pattern, std::uint64_t seed)
    : pattern_(pattern),
      random_(seed),
      now_(kStart),
      end_(kStart + pattern.length),
      endpoints_(pattern.endpoints, PatternEndpoint(pattern.slots)) {
  for (std::size_t i = 0; i < pattern_.endpoints; ++i) {
    auto report = EndpointReport();
    report.id = EndpointId(i + 1);
    report.service = kService;
    report.data_centre = DataCentreOf(i, pattern_);
    report.slots = pattern_.slots;
    directory_.Report(report);
  }
  auto routes = std::make_shared<RouteSet>();
  routes->version = Version(1);
  routes->routes.push_back({kAddress, {{kService, 1}}, true});
  directory_.Publish(std::move(routes), kStart);
  for (std::size_t i = 0; i < pattern_.instances; ++i) {
    instances_.push_back(MakeRouter<Router>(
        {InstanceId(i + 1), DataCentreOf(i, pattern_), endpoints_}));
  }
  Publish();
}

template <typename Router>
auto TokenWorld<Router>::Run() -> TokenOutcome {
  for (const auto& kind : pattern_.kinds) {
    ScheduleArrival(kind);
  }
  ScheduleTicks();
  ScheduleFault();
  while (!events_.empty()) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.run();
  }
  return outcome_;
}

template <typename Router>
void TokenWorld<Router>::At(TimePoint time, std::function<void()> run) {
  events_.push({time, next_order_++, std::move(run)});
}

template <typename Router>
void TokenWorld<Router>::After(Duration time, std::function<void()> run) {
  At(now_ + time, std::move(run));
}

template <typename Router>
void TokenWorld<Router>::ScheduleArrival(const PatternKind& kind) {
  const auto is_crowd = now_ - kStart < pattern_.crowd_time;
  const auto flows_per_second = kind.per_second / kind.requests_per_flow *
                                (is_crowd ? pattern_.crowd_factor : 1);
  const auto mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / flows_per_second));
  const auto at = now_ + random_.Exponential(mean);
  if (at >= end_) {
    return;
  }
  At(at, [this, &kind] {
    StartFlow(kind, kind.requests_per_flow, now_);
    ScheduleArrival(kind);
  });
}

template <typename Router>
void TokenWorld<Router>::ScheduleTicks() {
  for (auto at = kStart; at < end_; at += kTick) {
    At(at, [this] {
      for (const auto& instance : instances_) {
        TakeResets(instance->OnTick(now_));
      }
    });
  }
  for (auto at = kStart; at < end_; at += kSignInterval) {
    At(at, [this] { ShareSigns(); });
  }
}

template <typename Router>
void TokenWorld<Router>::ScheduleFault() {
  if (pattern_.fault == PatternFault::kNone) {
    return;
  }
  At(kStart + pattern_.fault_at, [this] { BeginFault(); });
  if (pattern_.fault == PatternFault::kDark) {
    At(kStart + pattern_.fault_at + kListingTime, [this] { EndListing(); });
  }
}

template <typename Router>
void TokenWorld<Router>::BeginFault() {
  for (std::size_t i = 0; i < pattern_.faulty_endpoints; ++i) {
    endpoints_[i].Begin(pattern_.fault);
  }
}

template <typename Router>
void TokenWorld<Router>::EndListing() {
  for (std::size_t i = 0; i < pattern_.faulty_endpoints; ++i) {
    directory_.Remove(EndpointId(i + 1), now_);
  }
  Publish();
}

template <typename Router>
void TokenWorld<Router>::Publish() {
  directory_.OnTick(now_);
  const auto snapshot = directory_.TakeSnapshot(now_);
  for (const auto& instance : instances_) {
    TakeResets(instance->Update(snapshot, now_));
  }
}

template <typename Router>
void TokenWorld<Router>::ShareSigns() {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    signs_.Report(InstanceId(i + 1), instances_[i]->TakeObservations(), now_);
  }
  const auto suspects = signs_.Suspects(now_);
  for (const auto& instance : instances_) {
    instance->ApplySharedSuspects(suspects, now_);
  }
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
                                   std::uint32_t requests, TimePoint asked) {
  const auto id = next_flow_++;
  auto& flow = flows_[id];
  flow.kind = &kind;
  flow.requests_left = requests;
  flow.asked = asked;
  flow.answered = false;
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
    auto packet = PacketOf(id, flow->second);
    packet.opens = true;
    packet.ack = copy;
    const auto forward = DecideFor(id, packet);
    if (!forward) {
      return;
    }
    const auto& endpoint = endpoints_[forward->endpoint.value() - 1];
    CountOpening(endpoint);
    if (!endpoint.is_dark()) {
      const auto token = forward->token;
      After(kEndpointWay + kCallerWay,
            [this, id, token] { OnOpened(id, token); });
    }
  });
}

// What the flow's instance forwards; a reset goes back to the caller.
template <typename Router>
auto TokenWorld<Router>::DecideFor(std::uint64_t id, const TokenPacket& packet)
    -> std::optional<ForwardWithToken> {
  const auto action = InstanceOf(id).Decide(packet, now_);
  if (std::holds_alternative<ResetFlow>(action)) {
    After(kCallerWay, [this, id] { OnReset(id); });
  }
  const auto* const forward = std::get_if<ForwardWithToken>(&action);
  return forward == nullptr ? std::nullopt : std::optional(*forward);
}

template <typename Router>
void TokenWorld<Router>::CountOpening(const PatternEndpoint& endpoint) {
  const auto is_dark = pattern_.fault == PatternFault::kDark;
  const auto grace = is_dark ? kDarkGrace : kFailingGrace;
  if (!MakesFail(pattern_.fault) || now_ < kStart + pattern_.fault_at + grace) {
    return;
  }
  ++outcome_.flows_since_found;
  outcome_.flows_to_faulty += MakesFail(endpoint.fault()) ? 1 : 0;
}

template <typename Router>
void TokenWorld<Router>::OnOpened(std::uint64_t id, WireToken token) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.open) {
    return;
  }
  found->second.open = true;
  found->second.token = token;
  SendData(id, 0, kResend);
}

template <typename Router>
void TokenWorld<Router>::BeginRequest(std::uint64_t id) {
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    return;
  }
  auto& flow = found->second;
  flow.asked = now_;
  flow.answered = false;
  const auto request = flow.request;
  SendData(id, request, kResend);
  At(now_ + flow.kind->deadline, [this, id, request] { Expire(id, request); });
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
    const auto position = forward->endpoint.value() - 1;
    auto& endpoint = endpoints_[position];
    if (endpoint.is_dark() || (endpoint.fault() == PatternFault::kMute &&
                               random_.Chance(kFailingShare))) {
      return;
    }
    if (endpoint.fault() == PatternFault::kResetting &&
        random_.Chance(kFailingShare)) {
      After(kEndpointWay + kCallerWay, [this, id] { OnReset(id); });
      return;
    }
    const auto work = DrawWork(*flow->second.kind);
    RunAt(position, endpoint.Accept({id, request, work}));
  });
  const auto next = std::min(resend * 2, kLongestResend);
  After(resend, [this, id, request, next] { SendData(id, request, next); });
}

template <typename Router>
void TokenWorld<Router>::RunAt(std::size_t position,
                               const std::optional<PatternWork>& work) {
  if (!work) {
    return;
  }
  After(work->work, [this, position, done = *work] {
    auto& endpoint = endpoints_[position];
    if (endpoint.is_dark()) {
      return;
    }
    After(kEndpointWay + kCallerWay, [this, done] { OnAnswer(done); });
    RunAt(position, endpoint.Finish());
  });
}

template <typename Router>
void TokenWorld<Router>::OnAnswer(const PatternWork& work) {
  const auto found = flows_.find(work.flow);
  if (found == flows_.end() || found->second.request != work.request) {
    return;
  }
  auto& flow = found->second;
  ++outcome_.requests;
  outcome_.late += now_ - flow.asked > flow.kind->aim ? 1 : 0;
  flow.ack += kAnswerBytes;
  flow.seq += kRequestBytes;
  flow.answered = true;
  ++flow.request;
  const auto is_last = --flow.requests_left == 0;
  SendAcknowledgement(work.flow, is_last);
  if (!is_last) {
    After(random_.Exponential(flow.kind->pause),
          [this, id = work.flow] { BeginRequest(id); });
  }
}

template <typename Router>
void TokenWorld<Router>::SendAcknowledgement(std::uint64_t id, bool finishes) {
  const auto found = flows_.find(id);
  auto packet = PacketOf(id, found->second);
  packet.finishes = finishes;
  if (finishes) {
    flows_.erase(found);
  }
  After(kCallerWay,
        [this, id, packet] { InstanceOf(id).Decide(packet, now_); });
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
  const auto asked = flow.answered ? now_ : flow.asked;
  if (flow.open && !flow.answered && !flow.kind->idempotent) {
    CountFailed();
  } else if (now_ < asked + flow.kind->deadline) {
    StartFlow(*flow.kind, flow.requests_left, asked);
  }
}

template <typename Router>
void TokenWorld<Router>::Expire(std::uint64_t id, std::uint32_t request) {
  const auto found = flows_.find(id);
  if (found == flows_.end() || found->second.answered ||
      found->second.request != request) {
    return;
  }
  CountFailed();
  flows_.erase(found);
}

template <typename Router>
void TokenWorld<Router>::CountFailed() {
  ++outcome_.requests;
  ++outcome_.failed;
}

template <typename Router>
auto TokenWorld<Router>::PacketOf(std::uint64_t id, const Flow& flow) const
    -> TokenPacket {
  auto packet = TokenPacket();
  packet.caller = CallerOf(id);
  packet.service = kAddress;
  packet.seq = flow.seq;
  packet.ack = flow.ack;
  packet.token = flow.token;
  return packet;
}

template <typename Router>
auto TokenWorld<Router>::InstanceOf(std::uint64_t id) -> Router& {
  constexpr std::uint64_t kSeed = 0x726F757465;
  return *instances_[MixWords(id, kSeed) % instances_.size()];
}

template <typename Router>
auto TokenWorld<Router>::DrawWork(const PatternKind& kind) -> Duration {
  constexpr double kTurn = 6.283185307179586;
  const auto radius = std::sqrt(-2 * std::log(1 - random_.Uniform01()));
  const auto normal = radius * std::cos(kTurn * random_.Uniform01());
  const auto usual = std::exp(kWorkSpread * (normal - kWorkSpread / 2));
  const auto factor = random_.Chance(kLongShare) ? kLongFactor * usual : usual;
  return std::chrono::duration_cast<Duration>(kind.mean_work * factor);
}

template class TokenWorld<TokenRouter>;
template class TokenWorld<RivalRouter<HashPlacement>>;
template class TokenWorld<RivalRouter<OraclePlacement>>;

}  // namespace hemlockwick
