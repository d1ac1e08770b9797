#include "Measure/request_replay.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>
#include <variant>

#include "Measure/replay_config.h"
#include "Request/likely_free_policy.h"
#include "Request/shared_slots_policy.h"
#include "Request/shed_feedback_policy.h"
#include "Request/two_choice_policy.h"
#include "Request/uniform_policy.h"

namespace hemlockwick {

namespace {

// One way between an instance and an endpoint or another instance.
constexpr Duration kHop = std::chrono::microseconds(500);
constexpr Duration kReportInterval = std::chrono::seconds(1);
constexpr Duration kRepeatDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxResultDelay = std::chrono::seconds(1);
constexpr Duration kMaxPause = std::chrono::seconds(6);
constexpr Duration kMaxPublishDelay = std::chrono::seconds(2);
constexpr std::ptrdiff_t kMaxDraining = 4;
constexpr Duration kDrainBound = std::chrono::seconds(3);
constexpr Duration kRestartTime = std::chrono::seconds(2);
// Time after the last arrival in which every request must end.
constexpr Duration kWindDown = std::chrono::seconds(60);
constexpr std::uint64_t kLongBody = 512ULL * 1024;

}  // namespace

template <DispatchPolicy Policy>
RequestReplay<Policy>::RequestReplay(const RequestTrace& trace,
                                     const ReplaySettings& settings)
    : trace_(trace),
      settings_(settings),
      random_(settings.seed),
      audit_(trace),
      draining_since_(trace.endpoints, TimePoint::max()),
      instances_(settings.instances),
      lagging_loads_(trace.endpoints),
      is_lagging_(trace.endpoints) {
  const auto length =
      trace.requests.empty() ? Duration(0) : trace.requests.back().at;
  end_ = kReplayStart + length + kWindDown;
  outcome_.policy = Policy::kName;
  for (auto index = std::size_t{0}; index < trace.endpoints; ++index) {
    endpoints_.emplace_back(EndpointId(1000 + index), trace.slots,
                            settings.endpoint_queue);
  }
}

template <DispatchPolicy Policy>
auto RequestReplay<Policy>::Run() -> ReplayOutcome {
  configs_.push_back(MakeConfig());
  for (auto number = std::size_t{0}; number < instances_.size(); ++number) {
    StartInstance(number);
  }
  for (auto index = std::size_t{0}; index < trace_.endpoints; ++index) {
    Push({.at = now_ + kReportInterval,
          .kind = Kind::kReport,
          .endpoint = index});
  }
  ScheduleFaults();
  if (!trace_.requests.empty()) {
    Push({.at = kReplayStart + trace_.requests.front().at,
          .kind = Kind::kArrival,
          .request = audit_.IdOf(0, 0)});
  }
  while (!events_.empty() && events_.top().at <= end_) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    Handle(event);
  }
  for (const auto& instance : instances_) {
    CountStats(instance);
  }
  for (const auto& endpoint : endpoints_) {
    outcome_.busy_times.push_back(endpoint.busy_time());
  }
  audit_.Finish(outcome_);
  return std::move(outcome_);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::StartInstance(std::size_t number) {
  auto& instance = instances_[number];
  const auto settings =
      RequestPlaneSettings{.random_seed = random_.Below(1'000'000)};
  instance.core = std::make_unique<Core>(settings, InstanceId(1 + number),
                                         GrantAllKeys(), now_);
  instance.tick_at = TimePoint::max();
  instance.version = configs_.size() - 1;
  Apply(number, instance.core->OnMembers(
                    MakeReplayMembers(InstanceId(1 + number), instances_.size(),
                                      settings_.data_centres, now_),
                    now_));
  Apply(number, instance.core->OnConfig(configs_.back(), now_));
}

template <DispatchPolicy Policy>
auto RequestReplay<Policy>::MakeConfig() const
    -> std::shared_ptr<const FleetConfig> {
  return MakeReplayConfig(
      {.version = Version{configs_.size() + 1},
       .data_centres = settings_.data_centres,
       .slots = trace_.slots,
       .max_requests_per_second = settings_.max_requests_per_second},
      endpoints_, draining_since_, now_);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::ScheduleFaults() {
  for (auto index = std::size_t{0}; index < trace_.faults.size(); ++index) {
    const auto& fault = trace_.faults[index];
    Push({.at = kReplayStart + fault.from,
          .kind = Kind::kFaultBegins,
          .endpoint = index});
    Push({.at = kReplayStart + fault.to,
          .kind = Kind::kFaultEnds,
          .endpoint = index});
  }
  ScheduleRandom(Kind::kCrash, settings_.rates.mean_between_crashes);
  ScheduleRandom(Kind::kPause, settings_.rates.mean_between_pauses);
  ScheduleRandom(Kind::kDeath, settings_.rates.mean_between_deaths);
  ScheduleRandom(Kind::kVersion, settings_.rates.mean_between_versions);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::ScheduleRandom(Kind kind, Duration mean) {
  const auto next =
      mean == Duration(0) ? end_ : now_ + random_.Exponential(mean);
  if (next < end_ - kWindDown) {
    Push({.at = next, .kind = kind});
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::Push(Event event) {
  event.sequence = ++sequence_;
  events_.push(event);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::Retick(std::size_t number) {
  auto& instance = instances_[number];
  const auto next = std::max(instance.core->NextTick(), now_);
  if (next < instance.tick_at) {
    instance.tick_at = next;
    Push({.at = next,
          .kind = Kind::kTick,
          .instance = number,
          .epoch = instance.epoch});
  }
}

template <DispatchPolicy Policy>
auto RequestReplay<Policy>::IndexOf(EndpointId id) const -> std::size_t {
  return id.value() - endpoints_.front().id().value();
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::Handle(const Event& event) {
  const auto is_at_instance =
      event.kind == Kind::kSend || event.kind == Kind::kResult ||
      event.kind == Kind::kGone || event.kind == Kind::kTick ||
      event.kind == Kind::kMessage || event.kind == Kind::kConfig;
  if (is_at_instance) {
    HandleAtInstance(event);
    return;
  }
  switch (event.kind) {
    case Kind::kArrival:
      OnArrival(event);
      break;
    case Kind::kOffer:
      OnOffer(event);
      break;
    case Kind::kFinish:
      OnFinish(event);
      break;
    case Kind::kCancel:
      OnCancel(event);
      break;
    case Kind::kReport:
      OnReport(event);
      break;
    case Kind::kFaultBegins:
    case Kind::kFaultEnds:
      OnTraceFault(trace_.faults[event.endpoint],
                   event.kind == Kind::kFaultBegins);
      break;
    case Kind::kCrash:
    case Kind::kRestart:
      OnCrash(event);
      break;
    case Kind::kPause:
      OnPause();
      break;
    case Kind::kDeath:
      OnDeath();
      break;
    case Kind::kVersion:
      OnVersion();
      break;
    default:
      break;
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::HandleAtInstance(const Event& event) {
  auto& instance = instances_[event.instance];
  if (event.epoch != instance.epoch) {
    return;
  }
  if (now_ < instance.paused_until) {
    auto delayed = event;
    delayed.at = instance.paused_until;
    Push(delayed);
    return;
  }
  auto& core = *instance.core;
  switch (event.kind) {
    case Kind::kSend:
      OnSend(event);
      break;
    case Kind::kResult: {
      auto result = AttemptResult{event.request, event.attempt,
                                  endpoints_[event.endpoint].id(),
                                  event.outcome, std::nullopt};
      if (event.has_load) {
        result.load = event.load;
      }
      Apply(event.instance, core.OnAttemptResult(result, now_));
      break;
    }
    case Kind::kGone:
      if (instance.open.erase(event.request) > 0) {
        audit_.OnCallerGone(event.request);
        Apply(event.instance, core.OnCallerGone(event.request, now_));
      }
      break;
    case Kind::kMessage:
      Apply(event.instance, core.OnMessage(senders_[event.endpoint],
                                           messages_[event.endpoint], now_));
      break;
    case Kind::kConfig:
      if (event.endpoint > instance.version) {
        instance.version = event.endpoint;
        Apply(event.instance, core.OnConfig(configs_[event.endpoint], now_));
      }
      break;
    default:
      instance.tick_at = TimePoint::max();
      Apply(event.instance, core.OnTick(now_));
      break;
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnArrival(const Event& event) {
  const auto index = audit_.IndexOf(event.request);
  const auto is_first = audit_.RepeatOf(event.request) == 0;
  if (is_first && index + 1 < trace_.requests.size()) {
    Push({.at = kReplayStart + trace_.requests[index + 1].at,
          .kind = Kind::kArrival,
          .request = audit_.IdOf(index + 1, 0)});
  }
  const auto number = random_.Below(instances_.size());
  auto& instance = instances_[number];
  const auto& traced = trace_.requests[index];
  const auto patience =
      traced.is_long ? trace_.long_deadline : trace_.short_deadline;
  auto arrival = RequestArrival();
  arrival.request = event.request;
  arrival.service = ReplayService();
  arrival.caller = CallerId(traced.caller);
  arrival.idempotent = traced.idempotent;
  arrival.body_bytes = traced.is_long ? kLongBody : 1024;
  arrival.arrived = now_;
  arrival.deadline = kReplayStart + traced.at + patience;
  ++outcome_.arrivals;
  if (now_ < instance.paused_until) {
    // The fabric finds no listener that accepts: the caller sees no answer.
    audit_.OnCallerGone(event.request);
    return;
  }
  audit_.OnArrived(event.request);
  instance.open.insert(event.request);
  if (random_.Chance(settings_.rates.caller_gone)) {
    const auto stay = random_.Exponential(traced.service_time);
    Push({.at = now_ + stay,
          .kind = Kind::kGone,
          .instance = number,
          .epoch = instance.epoch,
          .request = event.request});
  }
  Apply(number, instance.core->OnArrival(arrival, now_));
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::Apply(std::size_t number,
                                  const RequestActions& actions) {
  auto& instance = instances_[number];
  for (const auto& action : actions) {
    if (const auto* const dispatch = std::get_if<DispatchRequest>(&action)) {
      instance.pending[dispatch->request] = *dispatch;
      Push({.at = now_,
            .kind = Kind::kSend,
            .instance = number,
            .epoch = instance.epoch,
            .request = dispatch->request,
            .attempt = dispatch->attempt});
    } else if (const auto* const refusal =
                   std::get_if<RefuseRequest>(&action)) {
      OnRefusal(number, *refusal);
    } else if (const auto* const answer = std::get_if<DeliverAnswer>(&action)) {
      audit_.OnDelivered(answer->request, answer->attempt, now_);
      instance.open.erase(answer->request);
    } else if (const auto* const cancel = std::get_if<CancelAttempt>(&action)) {
      Push({.at = now_ + kHop,
            .kind = Kind::kCancel,
            .instance = number,
            .epoch = instance.epoch,
            .endpoint = IndexOf(cancel->endpoint),
            .request = cancel->request,
            .attempt = cancel->attempt});
    } else if (const auto* const message =
                   std::get_if<SendRequestMessage>(&action)) {
      const auto to = static_cast<std::size_t>(message->to.value() - 1);
      outcome_.control_bytes += Encode(message->message).size();
      messages_.push_back(message->message);
      senders_.push_back(InstanceId(1 + number));
      Push({.at = now_ + kHop,
            .kind = Kind::kMessage,
            .instance = to,
            .epoch = instances_[to].epoch,
            .endpoint = messages_.size() - 1});
    }
  }
  Retick(number);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnRefusal(std::size_t number,
                                      const RefuseRequest& refusal) {
  audit_.OnRefused(refusal.request, refusal.reason);
  instances_[number].open.erase(refusal.request);
  const auto index = audit_.IndexOf(refusal.request);
  const auto repeat = audit_.RepeatOf(refusal.request);
  if (IsNotRun(refusal.reason) && repeat < trace_.caller_retries) {
    Push({.at = now_ + kRepeatDelay,
          .kind = Kind::kArrival,
          .request = audit_.IdOf(index, repeat + 1)});
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnSend(const Event& event) {
  auto& instance = instances_[event.instance];
  const auto dispatch = instance.pending[event.request];
  if (dispatch.attempt != event.attempt) {
    return;
  }
  const auto may_send = instance.core->ConfirmSend(dispatch, now_);
  Retick(event.instance);
  if (!may_send) {
    return;
  }
  const auto index = IndexOf(dispatch.endpoint);
  const auto drain_end = draining_since_[index] == TimePoint::max()
                             ? TimePoint::max()
                             : draining_since_[index] + kDrainBound;
  outcome_.faults.late_to_draining += now_ > drain_end ? 1 : 0;
  auto offer = event;
  offer.kind = Kind::kOffer;
  offer.endpoint = index;
  offer.at = now_ + kHop;
  if (random_.Chance(settings_.rates.connection_failed)) {
    offer.kind = Kind::kResult;
    offer.outcome = AttemptOutcome::kNotSent;
  }
  Push(offer);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnOffer(const Event& event) {
  auto& endpoint = endpoints_[event.endpoint];
  const auto& traced = trace_.requests[audit_.IndexOf(event.request)];
  const auto work =
      EndpointWork{event.instance, event.epoch,         event.request,
                   event.attempt,  traced.service_time, now_};
  switch (endpoint.Offer(work, now_)) {
    case OfferResult::kStarted:
      Started(work, event.endpoint);
      break;
    case OfferResult::kQueued:
      break;
    case OfferResult::kShed:
      SendResult(work, event.endpoint, AttemptOutcome::kShed, true);
      break;
    case OfferResult::kRefused:
      SendResult(work, event.endpoint, AttemptOutcome::kNotSent, false);
      break;
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::Started(const EndpointWork& work,
                                    std::size_t endpoint) {
  audit_.OnRunStarted(work.request, work.attempt, now_);
  if (endpoints_[endpoint].hangs()) {
    return;
  }
  const auto length = work.service_time * endpoints_[endpoint].slowness();
  Push({.at = now_ + length,
        .kind = Kind::kFinish,
        .instance = work.instance,
        .epoch = work.epoch,
        .endpoint = endpoint,
        .request = work.request,
        .attempt = work.attempt});
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnFinish(const Event& event) {
  auto& endpoint = endpoints_[event.endpoint];
  const auto work = endpoint.Finish(event.request, event.attempt, now_);
  if (!work.has_value()) {
    return;
  }
  if (random_.Chance(settings_.rates.answer_lost)) {
    SendResult(*work, event.endpoint, AttemptOutcome::kLost, false);
  } else {
    SendResult(*work, event.endpoint, AttemptOutcome::kAnswered, true);
  }
  if (const auto next = endpoint.StartNext(now_); next.has_value()) {
    Started(*next, event.endpoint);
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::SendResult(const EndpointWork& work,
                                       std::size_t endpoint,
                                       AttemptOutcome outcome, bool has_load) {
  if (outcome == AttemptOutcome::kAnswered) {
    audit_.OnWholeAnswer(work.request, work.attempt);
  }
  auto result = Event{.at = now_ + kHop,
                      .kind = Kind::kResult,
                      .instance = work.instance,
                      .epoch = work.epoch,
                      .endpoint = endpoint,
                      .request = work.request,
                      .attempt = work.attempt,
                      .outcome = outcome,
                      .has_load = has_load};
  result.load = is_lagging_[endpoint] ? lagging_loads_[endpoint]
                                      : endpoints_[endpoint].Load(now_);
  if (random_.Chance(settings_.rates.result_delayed)) {
    result.at += random_.DurationBelow(kMaxResultDelay);
  }
  Push(result);
  if (random_.Chance(settings_.rates.result_repeated)) {
    result.at += kHop;
    Push(result);
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnCancel(const Event& event) {
  auto& endpoint = endpoints_[event.endpoint];
  auto work =
      EndpointWork{event.instance, event.epoch, event.request, event.attempt};
  if (endpoint.CancelQueued(event.request, event.attempt)) {
    SendResult(work, event.endpoint, AttemptOutcome::kCancelled, true);
    return;
  }
  if (endpoint.Finish(event.request, event.attempt, now_).has_value()) {
    SendResult(work, event.endpoint, AttemptOutcome::kLost, false);
    if (const auto next = endpoint.StartNext(now_); next.has_value()) {
      Started(*next, event.endpoint);
    }
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnReport(const Event& event) {
  const auto load = endpoints_[event.endpoint].Load(now_);
  const auto told =
      is_lagging_[event.endpoint] ? lagging_loads_[event.endpoint] : load;
  for (auto number = std::size_t{0}; number < instances_.size(); ++number) {
    if (now_ >= instances_[number].paused_until) {
      Apply(number, instances_[number].core->OnLoadReport(told, now_));
    }
  }
  lagging_loads_[event.endpoint] = load;
  Push({.at = now_ + kReportInterval,
        .kind = Kind::kReport,
        .endpoint = event.endpoint});
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnTraceFault(const EndpointFault& fault,
                                         bool begins) {
  auto& endpoint = endpoints_[fault.endpoint];
  switch (fault.kind) {
    case EndpointFaultKind::kFail:
      CrashEndpoint(fault.endpoint, begins);
      break;
    case EndpointFaultKind::kHang:
      endpoint.set_hangs(begins);
      if (!begins) {
        CrashEndpoint(fault.endpoint, true);
        CrashEndpoint(fault.endpoint, false);
      }
      break;
    case EndpointFaultKind::kLie:
      endpoint.set_lies(begins);
      break;
    case EndpointFaultKind::kLag:
      is_lagging_[fault.endpoint] = begins;
      break;
    case EndpointFaultKind::kCold:
      endpoint.set_slowness(begins ? kColdSlowness : 1);
      PublishConfig();
      break;
    case EndpointFaultKind::kDrain:
      draining_since_[fault.endpoint] = begins ? now_ : TimePoint::max();
      PublishConfig();
      break;
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::CrashEndpoint(std::size_t index, bool begins) {
  if (!begins) {
    endpoints_[index].Restart();
    return;
  }
  for (const auto& work : endpoints_[index].Crash(now_)) {
    SendResult(work, index, AttemptOutcome::kLost, false);
  }
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnCrash(const Event& event) {
  if (event.kind == Kind::kRestart) {
    CrashEndpoint(event.endpoint, false);
    return;
  }
  const auto index = random_.Below(endpoints_.size());
  if (endpoints_[index].is_up()) {
    CrashEndpoint(index, true);
    Push(
        {.at = now_ + kRestartTime, .kind = Kind::kRestart, .endpoint = index});
  }
  ScheduleRandom(Kind::kCrash, settings_.rates.mean_between_crashes);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnPause() {
  auto& instance = instances_[random_.Below(instances_.size())];
  const auto length = random_.DurationBelow(kMaxPause);
  instance.paused_until = std::max(instance.paused_until, now_ + length);
  ScheduleRandom(Kind::kPause, settings_.rates.mean_between_pauses);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnDeath() {
  const auto number = random_.Below(instances_.size());
  auto& instance = instances_[number];
  CountStats(instance);
  for (const auto request : instance.open) {
    audit_.OnCallerGone(request);
  }
  ++instance.epoch;
  instance.open.clear();
  instance.pending.clear();
  instance.paused_until = TimePoint();
  StartInstance(number);
  ScheduleRandom(Kind::kDeath, settings_.rates.mean_between_deaths);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::CountStats(const Instance& instance) {
  const auto stats = instance.core->stats();
  outcome_.dispatches += stats.dispatched;
  outcome_.sheds += stats.shed;
  outcome_.retries += stats.retried;
  outcome_.late_results += stats.late_answers;
  outcome_.unknown += stats.outcome_unknown;
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::OnVersion() {
  const auto index = random_.Below(endpoints_.size());
  const auto drains = draining_since_[index] != TimePoint::max();
  const auto draining =
      std::count_if(draining_since_.begin(), draining_since_.end(),
                    [](TimePoint since) { return since != TimePoint::max(); });
  if (drains || draining < kMaxDraining) {
    draining_since_[index] = drains ? TimePoint::max() : now_;
    PublishConfig();
  }
  ScheduleRandom(Kind::kVersion, settings_.rates.mean_between_versions);
}

template <DispatchPolicy Policy>
void RequestReplay<Policy>::PublishConfig() {
  configs_.push_back(MakeConfig());
  for (auto number = std::size_t{0}; number < instances_.size(); ++number) {
    const auto delay = random_.DurationBelow(kMaxPublishDelay);
    Push({.at = now_ + delay,
          .kind = Kind::kConfig,
          .instance = number,
          .epoch = instances_[number].epoch,
          .endpoint = configs_.size() - 1});
  }
}

template class RequestReplay<UniformPolicy>;
template class RequestReplay<TwoChoicePolicy>;
template class RequestReplay<ShedFeedbackPolicy>;
template class RequestReplay<SharedSlotsPolicy>;
template class RequestReplay<LikelyFreePolicy>;

}  // namespace hemlockwick
