#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_

// Definitions of RequestCore: admission of requests and their queues.

#include <algorithm>
#include <memory>
#include <optional>

#include "Request/request_core.h"

namespace hemlockwick {

// Whether a request whose claim has this verdict may run.
[[nodiscard]] constexpr auto MayProceed(KeyState state) -> bool {
  return state == KeyState::kFree || state == KeyState::kNotRun;
}

// Reason for which a request with this verdict is refused.
[[nodiscard]] constexpr auto RefusalReasonOf(KeyState state) -> RefusalReason {
  switch (state) {
    case KeyState::kRunning:
      return RefusalReason::kInProgress;
    case KeyState::kRefused:
      return RefusalReason::kAttemptsSpent;
    default:
      return RefusalReason::kOutcomeUnknown;
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::ContextOf(ServiceId id, TimePoint now)
    -> Context* {
  const auto found = contexts_.find(id);
  if (found != contexts_.end()) {
    Refresh(id, *found->second);
    return found->second.get();
  }
  const auto* const service =
      config_ == nullptr ? nullptr : FindService(*config_, id);
  if (service == nullptr || service->kind != ServiceKind::kRequest) {
    return nullptr;
  }
  const auto added =
      contexts_.emplace(id, std::make_unique<Context>(self_, now));
  auto& context = *added.first->second;
  context.rate.OnMembers(members_, now);
  Refresh(id, context);
  return &context;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Refresh(ServiceId id, Context& context) {
  if (context.generation == generation_ || config_ == nullptr) {
    return;
  }
  context.generation = generation_;
  context.service = FindService(*config_, id);
  if (context.service == nullptr) {
    return;
  }
  context.pool.Update(*context.service, *config_, members_);
  context.retries.set_ratio(context.service->contract.retry_ratio);
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::EarlyRefusal(const RequestArrival& arrival,
                                             Context* context, TimePoint now)
    -> std::optional<RefusalReason> {
  if (leaving_) {
    return RefusalReason::kStopping;
  }
  if (context == nullptr || context->service == nullptr) {
    return RefusalReason::kUnknownService;
  }
  if (now >= arrival.deadline) {
    return RefusalReason::kDeadline;
  }
  if (!context->pool.HasCandidates()) {
    return RefusalReason::kNoEndpoint;
  }
  const auto limit = context->service->contract.max_requests_per_second;
  context->rate.OnArrival(now);
  if (limit > 0 && !context->rate.Admit(limit, now)) {
    return RefusalReason::kRateLimit;
  }
  return std::nullopt;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::OnVerdict(const KeyVerdict& verdict,
                                          RequestActions& actions,
                                          TimePoint now) {
  const auto found = records_.find(verdict.request);
  if (found == records_.end() ||
      found->second.state.phase() != RequestPhase::kClaiming) {
    return;
  }
  auto& record = found->second;
  auto* const context = ContextOf(record.arrival.service, now);
  if (!MayProceed(verdict.state)) {
    record.holds_key = false;
    Refuse(record, context, RefusalReasonOf(verdict.state), actions, now);
    return;
  }
  static_cast<void>(record.state.OnClaimGranted());
  Enqueue(record, *context, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Enqueue(Record& record, Context& context,
                                        RequestActions& actions,
                                        TimePoint now) {
  const auto service = record.arrival.service;
  const auto work = record.work;
  if (work == WorkClass::kShort) {
    context.short_arrivals.Add(1, now);
  }
  const auto& admission = context.AdmissionOf(work);
  const auto length = context.QueueOf(work).size();
  if (!admission.CanMeetDeadline(length, record.arrival.deadline, now)) {
    Refuse(record, &context, RefusalReason::kDeadline, actions, now);
    return;
  }
  context.policy.OnFirstAttempt();
  context.QueueOf(work).Push(record.ToWaiting());
  DispatchWaiting(service, context, actions, now);
  TrimQueue(context, work, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::TrimQueue(Context& context, WorkClass work,
                                          RequestActions& actions,
                                          TimePoint now) {
  auto& queue = context.QueueOf(work);
  while (!queue.empty() && context.service != nullptr &&
         context.AdmissionOf(work).IsFull(queue.size() - 1,
                                          context.service->contract, now)) {
    const auto victim = queue.SelectVictim(now);
    auto& record = records_.at(victim->request);
    Refuse(record, &context, RefusalReason::kQueueFull, actions, now);
  }
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_
