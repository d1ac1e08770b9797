#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_

// Definitions of RequestCore: results of attempts and final answers.

#include <chrono>
#include <cstdint>

#include "Request/request_core.h"

namespace hemlockwick {

// The slot of an attempt without a result is given up this long after the
// deadline.
inline constexpr Duration kResultPatience = std::chrono::seconds(30);
inline constexpr std::uint32_t kMaxAttempts = 50;

// How the key of a request in a final state is settled.
[[nodiscard]] inline auto EndingOf(const RequestState& state) -> KeyState {
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
void RequestCore<Policy, Keys>::ReleaseSlot(Record& record, Lane& lane,
                                            AttemptOutcome outcome,
                                            const EndpointLoad* load,
                                            TimePoint now) {
  auto* const track = lane.pool.Find(record.endpoint);
  if (track != nullptr) {
    track->OnResult(record.counted_as, outcome, load, now);
  }
  if (record.counted_as == WorkClass::kLong) {
    --lane.long_in_flight;
  }
  record.holds_slot = false;
  --lane.in_flight;
  lane.declared_long_in_flight -= record.work == WorkClass::kLong ? 1 : 0;
  if (outcome == AttemptOutcome::kAnswered) {
    const auto ran = now - record.dispatched;
    lane.AdmissionOf(record.work).OnServed(ran);
    lane.SlotTimeOf(record.counted_as)
        .Add(std::chrono::duration<double>(ran).count(), now);
  }
  if (record.is_probe && (outcome == AttemptOutcome::kAnswered ||
                          outcome == AttemptOutcome::kShed)) {
    lane.pool.OnProbe(outcome == AttemptOutcome::kAnswered);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::FreeSlot(Record& record, Lane& lane) {
  if (!record.holds_slot) {
    return;
  }
  record.holds_slot = false;
  --lane.in_flight;
  lane.declared_long_in_flight -= record.work == WorkClass::kLong ? 1 : 0;
  if (record.counted_as == WorkClass::kLong) {
    --lane.long_in_flight;
  }
  if (auto* const track = lane.pool.Find(record.endpoint); track != nullptr) {
    track->OnWithdrawn(record.counted_as);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::OnRetryable(Record& record, Lane& lane,
                                            AttemptOutcome outcome,
                                            RequestActions& actions,
                                            TimePoint now) {
  const auto was_shed = outcome == AttemptOutcome::kShed;
  if (was_shed) {
    ++stats_.shed;
    lane.policy.OnShed();
  }
  if (record.caller_done) {
    const auto ending = record.state.Refuse(RefusalReason::kAttemptsSpent);
    Finish(record.arrival.request,
           IsNotRun(ending) ? KeyState::kNotRun : KeyState::kUnknown, actions,
           now);
    return;
  }
  const auto waits_here = was_shed && Policy::kWaitsAtInstance;
  const auto may_retry = record.state.attempt() < kMaxAttempts &&
                         (waits_here || lane.retries.Spend());
  if (!may_retry) {
    Refuse(record, &lane, RefusalReason::kAttemptsSpent, actions, now);
    return;
  }
  stats_.retried += was_shed ? 0 : 1;
  Requeue(record, lane);
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
  auto* const lane = LaneOf(record.arrival.service, now);
  if (record.caller_done) {
    FreeSlot(record, *lane);
    Finish(id, KeyState::kUnknown, actions, now);
    return;
  }
  if (record.state.phase() == RequestPhase::kSent) {
    auto* const track = lane->pool.Find(record.endpoint);
    if (track != nullptr && track->seen_at() < record.dispatched) {
      track->OnTimeout(now);
    }
  }
  Refuse(record, lane, RefusalReason::kDeadline, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Refuse(Record& record, Lane* lane,
                                       RefusalReason reason,
                                       RequestActions& actions, TimePoint now) {
  const auto id = record.arrival.request;
  const auto was_sent = record.state.phase() == RequestPhase::kSent;
  const auto length = lane == nullptr ? 0 : lane->QueueOf(record.work).size();
  const auto retry_after =
      lane == nullptr ? Duration(0)
                      : lane->AdmissionOf(record.work).RetryAfter(length, now);
  if (!record.caller_done) {
    // A sent attempt keeps its state, so that its result is still judged.
    const auto stated =
        was_sent ? RefusalReason::kOutcomeUnknown : record.state.Refuse(reason);
    ++stats_.refused;
    stats_.outcome_unknown += stated == RefusalReason::kOutcomeUnknown ? 1 : 0;
    actions.emplace_back(RefuseRequest{
        id, stated, IsNotRun(stated) ? retry_after : Duration(0)});
  }
  if (was_sent) {
    LeaveToEndpoint(record, actions);
    return;
  }
  if (lane != nullptr) {
    lane->QueueOf(record.work).Remove(record.ToWaiting());
    FreeSlot(record, *lane);
  }
  Finish(id, EndingOf(record.state), actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::LeaveToEndpoint(Record& record,
                                                RequestActions& actions) {
  const auto id = record.arrival.request;
  record.caller_done = true;
  actions.emplace_back(
      CancelAttempt{id, record.state.attempt(), record.endpoint});
  deadlines_.erase({record.arrival.deadline, id});
  record.arrival.deadline += kResultPatience;
  deadlines_.emplace(record.arrival.deadline, id);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Finish(RequestId id, KeyState ending,
                                       RequestActions& actions, TimePoint now) {
  const auto found = records_.find(id);
  if (found == records_.end()) {
    return;
  }
  const auto& record = found->second;
  if (record.holds_key) {
    keys_.Settle({*record.arrival.key, id, ending}, actions, now);
  }
  deadlines_.erase({record.arrival.deadline, id});
  records_.erase(found);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_RESULTS_H_
