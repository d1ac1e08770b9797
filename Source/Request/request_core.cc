#include "Request/request_core.h"

#include <algorithm>
#include <chrono>

#include "Request/at_most_once.h"
#include "Request/likely_free_policy.h"
#include "Request/request_core_admission.h"
#include "Request/request_core_dispatch.h"
#include "Request/request_core_results.h"
#include "Request/shared_slots_policy.h"
#include "Request/shed_feedback_policy.h"
#include "Request/two_choice_policy.h"
#include "Request/uniform_policy.h"

namespace hemlockwick {

namespace {

constexpr Duration kReportInterval = std::chrono::seconds(1);
// Larger fleets share limits evenly, without demand reports.
constexpr std::size_t kMaxReportPeers = 16;
// Longest time between two ticks, so that a suspension of the process is
// detected.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);
constexpr Duration kSuspensionThreshold = std::chrono::seconds(2);
// After a suspension nothing is sent until the view is refreshed or this time
// has passed.
constexpr Duration kResumeHold = std::chrono::seconds(1);
// A dispatch older than this is not sent: the view may have changed.
constexpr Duration kMaxSendDelay = std::chrono::milliseconds(500);

}  // namespace

template <DispatchPolicy Policy, KeyGuard Keys>
RequestCore<Policy, Keys>::RequestCore(const RequestPlaneSettings& settings,
                                       InstanceId self, Keys keys,
                                       TimePoint now)
    : self_(self),
      keys_(std::move(keys)),
      random_(settings.random_seed),
      last_call_(now),
      hold_until_(now),
      next_report_(now + kReportInterval) {
  members_.self = self;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnConfig(
    std::shared_ptr<const FleetConfig> config, TimePoint now)
    -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  config_ = std::move(config);
  ++generation_;
  hold_until_ = now;
  has_limits_ =
      std::any_of(config_->services.begin(), config_->services.end(),
                  [](const auto& service) {
                    return service->kind == ServiceKind::kRequest &&
                           service->contract.max_requests_per_second > 0;
                  });
  keys_.OnConfig(config_, now);
  for (auto& [id, context] : contexts_) {
    context->service = nullptr;
    DispatchWaiting(id, *context, actions, now);
  }
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnMembers(const MemberView& members,
                                          TimePoint now) -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  members_ = members;
  ++generation_;
  hold_until_ = now;
  keys_.OnMembers(members_, actions, now);
  for (auto& [id, context] : contexts_) {
    context->rate.OnMembers(members_, now);
    DispatchWaiting(id, *context, actions, now);
  }
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnArrival(const RequestArrival& arrival,
                                          TimePoint now) -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  ++stats_.arrived;
  auto* const context = ContextOf(arrival.service, now);
  const auto needs_claim = arrival.key.has_value();
  auto record = Record(arrival);
  if (const auto reason = EarlyRefusal(arrival, context, now);
      reason.has_value()) {
    Refuse(record, context, *reason, actions, now);
    return actions;
  }
  const auto& contract = context->service->contract;
  record.work = ClassOf(contract, arrival.body_bytes);
  record.arrival.deadline =
      std::min(arrival.deadline, arrival.arrived + contract.max_deadline);
  const auto [entry, added] = records_.emplace(arrival.request, record);
  if (!added) {
    return actions;
  }
  deadlines_.emplace(record.arrival.deadline, arrival.request);
  if (!needs_claim) {
    Enqueue(entry->second, *context, actions, now);
    return actions;
  }
  entry->second.holds_key = true;
  const auto state = keys_.Claim(entry->second.arrival, actions, now);
  if (state.has_value()) {
    OnVerdict({*arrival.key, arrival.request, *state}, actions, now);
  }
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnCallerGone(RequestId request, TimePoint now)
    -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.caller_done) {
    return actions;
  }
  auto& record = found->second;
  auto* const context = ContextOf(record.arrival.service, now);
  if (record.state.phase() == RequestPhase::kSent) {
    CancelSentAttempt(record, actions);
    return actions;
  }
  context->QueueOf(record.work).Remove(record.ToWaiting());
  FreeSlot(record, *context);
  static_cast<void>(record.state.Refuse(RefusalReason::kStopping));
  const auto service = record.arrival.service;
  Finish(request, FinalKeyState(record.state), actions, now);
  DispatchWaiting(service, *context, actions, now);
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::ConfirmSend(const DispatchRequest& dispatch,
                                            TimePoint now) -> bool {
  DetectSuspension(now);
  const auto found = records_.find(dispatch.request);
  if (found == records_.end()) {
    return false;
  }
  auto& record = found->second;
  if (record.state.phase() != RequestPhase::kDispatched ||
      record.state.attempt() != dispatch.attempt) {
    return false;
  }
  auto& context = *ContextOf(record.arrival.service, now);
  const auto* const tracked = context.pool.Find(record.endpoint);
  const auto is_current =
      now < record.arrival.deadline &&
      now - record.dispatched <= kMaxSendDelay && now >= hold_until_ &&
      context.service != nullptr && tracked != nullptr &&
      tracked->IsCandidate() &&
      (!record.holds_key || keys_.MaySend(dispatch.request, now));
  if (is_current) {
    return record.state.ConfirmSend(dispatch.attempt);
  }
  static_cast<void>(record.state.Withdraw(dispatch.attempt));
  FreeSlot(record, context);
  Requeue(record, context);
  ScheduleDispatch(record.arrival.service, context, now);
  return false;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnAttemptResult(const AttemptResult& result,
                                                TimePoint now)
    -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  const auto found = records_.find(result.request);
  if (found == records_.end() || !found->second.holds_slot ||
      found->second.state.attempt() != result.attempt ||
      found->second.endpoint != result.endpoint) {
    ++stats_.late_answers;
    return actions;
  }
  auto& record = found->second;
  const auto service = record.arrival.service;
  auto& context = *ContextOf(service, now);
  const auto* const load = result.load ? &*result.load : nullptr;
  // A cancelled attempt that ends without an answer is not a failure of the
  // endpoint.
  const auto was_cancelled =
      record.caller_done && result.outcome == AttemptOutcome::kLost;
  ReleaseSlot(record, context,
              was_cancelled ? AttemptOutcome::kCancelled : result.outcome, load,
              now);
  switch (record.state.OnResult(result.attempt, result.outcome)) {
    case AttemptDecision::kDeliver:
      if (record.caller_done) {
        ++stats_.late_answers;
      } else {
        ++stats_.answered;
        actions.emplace_back(DeliverAnswer{result.request, result.attempt});
      }
      Finish(result.request, KeyState::kAnswered, actions, now);
      break;
    case AttemptDecision::kMayRetry:
      OnRetryable(record, context, result.outcome, actions, now);
      break;
    case AttemptDecision::kUnknown:
      Refuse(record, &context, RefusalReason::kOutcomeUnknown, actions, now);
      break;
    case AttemptDecision::kStale:
      ++stats_.late_answers;
      Finish(result.request, KeyState::kUnknown, actions, now);
      break;
  }
  DispatchWaiting(service, context, actions, now);
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnLoadReport(const EndpointLoad& load,
                                             TimePoint now) -> RequestActions {
  DetectSuspension(now);
  for (auto& [id, context] : contexts_) {
    if (auto* const tracked = context->pool.Find(load.endpoint);
        tracked != nullptr) {
      tracked->OnReport(load, now);
    }
  }
  return {};
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnMessage(InstanceId from,
                                          const RequestMessage& message,
                                          TimePoint now) -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  if (const auto* const report = std::get_if<DemandReport>(&message)) {
    for (const auto& entry : report->entries) {
      if (auto* const context = ContextOf(entry.service, now);
          context != nullptr) {
        context->rate.OnReport(from, entry.arrivals_per_second, now);
      }
    }
    return actions;
  }
  for (const auto& verdict : keys_.OnMessage(from, message, actions, now)) {
    OnVerdict(verdict, actions, now);
  }
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::OnTick(TimePoint now) -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    OnDeadline(id, actions, now);
  }
  while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
    const auto id = scheduled_.begin()->second;
    DispatchWaiting(id, *contexts_.at(id), actions, now);
  }
  for (const auto& verdict : keys_.OnTick(actions, now)) {
    OnVerdict(verdict, actions, now);
  }
  if (now >= next_report_) {
    SendReports(actions, now);
    next_report_ = now + kReportInterval;
  }
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::NextTick() const -> TimePoint {
  auto next = std::min(last_call_ + kMaxTickInterval, keys_.NextTick());
  next = std::min(next, next_report_);
  if (!deadlines_.empty()) {
    next = std::min(next, deadlines_.begin()->first);
  }
  if (!scheduled_.empty()) {
    next = std::min(next, scheduled_.begin()->first);
  }
  return next;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::BeginLeave(TimePoint now) -> RequestActions {
  DetectSuspension(now);
  auto actions = RequestActions();
  leaving_ = true;
  keys_.BeginLeave(actions, now);
  return actions;
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::LeaveDone() const -> bool {
  return leaving_ && records_.empty();
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::stats() const -> RequestStats {
  auto stats = stats_;
  for (const auto& [id, context] : contexts_) {
    stats.queued += context->queues[0].size() + context->queues[1].size();
  }
  stats.in_flight = records_.size() - stats.queued;
  stats.keys = keys_.size();
  return stats;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::DetectSuspension(TimePoint now) {
  if (now - last_call_ > kSuspensionThreshold) {
    hold_until_ = now + kResumeHold;
    for (auto& [id, context] : contexts_) {
      context->rate.OnResumed(now);
    }
  }
  last_call_ = std::max(last_call_, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::SendReports(RequestActions& actions,
                                            TimePoint now) {
  if (!has_limits_ || members_.members.size() > kMaxReportPeers) {
    return;
  }
  auto report = DemandReport();
  for (auto& [id, context] : contexts_) {
    Refresh(id, *context);
    if (context->service == nullptr ||
        context->service->contract.max_requests_per_second == 0) {
      continue;
    }
    const auto queued = context->queues[0].size() + context->queues[1].size();
    report.entries.push_back({id, context->rate.TakeReport(now),
                              static_cast<std::uint32_t>(queued),
                              static_cast<std::uint32_t>(context->in_flight)});
  }
  for (const auto& member : members_.members) {
    if (member.id != self_ && member.state != MemberState::kDead) {
      actions.emplace_back(
          SendRequestMessage{member.id, member.http_address, report});
    }
  }
}

template class RequestCore<UniformPolicy, GrantAllKeys>;
template class RequestCore<TwoChoicePolicy, GrantAllKeys>;
template class RequestCore<ShedFeedbackPolicy, GrantAllKeys>;
template class RequestCore<SharedSlotsPolicy, GrantAllKeys>;
template class RequestCore<LikelyFreePolicy, GrantAllKeys>;
template class RequestCore<LikelyFreePolicy, AtMostOnce>;

}  // namespace hemlockwick
