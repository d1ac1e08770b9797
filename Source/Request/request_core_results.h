#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_

// Definitions of RequestCore: results of attempts and final answers.

#include <chrono>
#include <cstdint>

#include "Request/request_core.h"

namespace hemlockwick {

// Time after the deadline at which the slot of an attempt without a result is
// released.
inline constexpr Duration kLateResultTimeout = std::chrono::seconds(30);
inline constexpr std::uint32_t kMaxAttempts = 50;

// State with which the key of a finished request is settled.
[[nodiscard]] inline auto FinalKeyState(const RequestState& state) -> KeyState {
  switch (state.phase()) {
    case RequestPhase::kAnswered:
      return KeyState::kAnswered;
    case RequestPhase::kNotRun:
      return KeyState::kNotRun;
    default:
      return KeyState::kUnknown;
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::ReleaseSlot(Record& record, Context& context,
                                            AttemptOutcome outcome,
                                            const EndpointLoad* load,
                                            TimePoint now) {
  auto* const tracked = context.pool.Find(record.endpoint);
  if (tracked != nullptr) {
    tracked->OnResult(record.counted_class, outcome, load, now);
  }
  if (record.counted_class == WorkClass::kLong) {
    --context.long_in_flight;
  }
  record.holds_slot = false;
  --context.in_flight;
  context.declared_long_in_flight -= record.work == WorkClass::kLong ? 1 : 0;
  if (outcome == AttemptOutcome::kAnswered) {
    const auto ran = now - record.dispatched;
    context.AdmissionOf(record.work).OnServiceTime(ran);
    context.SlotTimeOf(record.counted_class)
        .Add(std::chrono::duration<double>(ran).count(), now);
  }
  if (record.is_probe && (outcome == AttemptOutcome::kAnswered ||
                          outcome == AttemptOutcome::kShed)) {
    context.pool.OnProbe(outcome == AttemptOutcome::kAnswered);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::FreeSlot(Record& record, Context& context) {
  if (!record.holds_slot) {
    return;
  }
  record.holds_slot = false;
  --context.in_flight;
  context.declared_long_in_flight -= record.work == WorkClass::kLong ? 1 : 0;
  if (record.counted_class == WorkClass::kLong) {
    --context.long_in_flight;
  }
  if (auto* const tracked = context.pool.Find(record.endpoint);
      tracked != nullptr) {
    tracked->OnWithdrawn(record.counted_class);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::OnRetryable(Record& record, Context& context,
                                            AttemptOutcome outcome,
                                            RequestActions& actions,
                                            TimePoint now) {
  const auto was_shed = outcome == AttemptOutcome::kShed;
  if (was_shed) {
    ++stats_.shed;
    context.policy.OnShed();
  }
  if (record.caller_done) {
    const auto reported = record.state.Refuse(RefusalReason::kAttemptsSpent);
    Finish(record.arrival.request,
           IsNotRun(reported) ? KeyState::kNotRun : KeyState::kUnknown, actions,
           now);
    return;
  }
  const auto waits_here = was_shed && Policy::kWaitsAtInstance;
  const auto may_retry = record.state.attempt() < kMaxAttempts &&
                         (waits_here || context.retries.Spend());
  if (!may_retry) {
    Refuse(record, &context, RefusalReason::kAttemptsSpent, actions, now);
    return;
  }
  stats_.retried += was_shed ? 0 : 1;
  Requeue(record, context);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::OnDeadline(RequestId id,
                                           RequestActions& actions,
                                           TimePoint now) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  auto& record = found->second;
  auto* const context = ContextOf(record.arrival.service, now);
  if (record.caller_done) {
    FreeSlot(record, *context);
    Finish(id, KeyState::kUnknown, actions, now);
    return;
  }
  if (record.state.phase() == RequestPhase::kSent) {
    auto* const tracked = context->pool.Find(record.endpoint);
    if (tracked != nullptr && tracked->observed_at() < record.dispatched) {
      tracked->OnTimeout(now);
    }
  }
  Refuse(record, context, RefusalReason::kDeadline, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Refuse(Record& record, Context* context,
                                       RefusalReason reason,
                                       RequestActions& actions, TimePoint now) {
  const auto id = record.arrival.request;
  const auto was_sent = record.state.phase() == RequestPhase::kSent;
  const auto length =
      context == nullptr ? 0 : context->QueueOf(record.work).size();
  const auto retry_after =
      context == nullptr
          ? Duration(0)
          : context->AdmissionOf(record.work).RetryAfter(length, now);
  if (!record.caller_done) {
    // A sent attempt keeps its state, so that its result is still evaluated.
    const auto reported =
        was_sent ? RefusalReason::kOutcomeUnknown : record.state.Refuse(reason);
    ++stats_.refused;
    stats_.outcome_unknown +=
        reported == RefusalReason::kOutcomeUnknown ? 1 : 0;
    actions.emplace_back(RefuseRequest{
        id, reported, IsNotRun(reported) ? retry_after : Duration(0)});
  }
  if (was_sent) {
    CancelSentAttempt(record, actions);
    return;
  }
  if (context != nullptr) {
    context->QueueOf(record.work).Remove(record.ToWaiting());
    FreeSlot(record, *context);
  }
  Finish(id, FinalKeyState(record.state), actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::CancelSentAttempt(Record& record,
                                                  RequestActions& actions) {
  const auto id = record.arrival.request;
  record.caller_done = true;
  actions.emplace_back(
      CancelAttempt{id, record.state.attempt(), record.endpoint});
  deadlines_.erase({record.arrival.deadline, id});
  record.arrival.deadline += kLateResultTimeout;
  deadlines_.emplace(record.arrival.deadline, id);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Finish(RequestId id, KeyState final_state,
                                       RequestActions& actions, TimePoint now) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  const auto& record = found->second;
  if (record.holds_key) {
    keys_.Settle({*record.arrival.key, id, final_state}, actions, now);
  }
  deadlines_.erase({record.arrival.deadline, id});
  records_.erase(found);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_
