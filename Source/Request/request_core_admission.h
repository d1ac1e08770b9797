#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_

// Definitions of RequestCore: admission of requests and their queues.

#include <algorithm>
#include <memory>
#include <optional>

#include "Request/request_core.h"

namespace hemlockwick {

// Whether a claim with this verdict lets the request run.
[[nodiscard]] constexpr auto MayProceed(KeyState state) -> bool {
  return state == KeyState::kFree || state == KeyState::kNotRun;
}

// Why a request with this verdict is refused.
[[nodiscard]] constexpr auto ReasonOf(KeyState state) -> RefusalReason {
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
auto RequestCore<Policy, Keys>::LaneOf(ServiceId id, TimePoint now) -> Lane* {
  const auto found = lanes_.find(id);
  if (found != lanes_.end()) {
    Refresh(id, *found->second);
    return found->second.get();
  }
  const auto* const service =
      config_ == nullptr ? nullptr : FindService(*config_, id);
  if (service == nullptr || service->kind != ServiceKind::kRequest) {
    return nullptr;
  }
  const auto added = lanes_.emplace(id, std::make_unique<Lane>(self_, now));
  auto& lane = *added.first->second;
  lane.rate.OnMembers(members_, now);
  Refresh(id, lane);
  return &lane;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Refresh(ServiceId id, Lane& lane) {
  if (lane.generation == generation_ || config_ == nullptr) {
    return;
  }
  lane.generation = generation_;
  lane.service = FindService(*config_, id);
  if (lane.service == nullptr) {
    return;
  }
  lane.pool.Update(*lane.service, *config_, members_);
  lane.retries.set_ratio(lane.service->contract.retry_ratio);
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::EarlyRefusal(const RequestArrival& arrival,
                                             Lane* lane, TimePoint now)
    -> std::optional<RefusalReason> {
  if (leaving_) {
    return RefusalReason::kStopping;
  }
  if (lane == nullptr || lane->service == nullptr) {
    return RefusalReason::kUnknownService;
  }
  if (now >= arrival.deadline) {
    return RefusalReason::kDeadline;
  }
  if (!lane->pool.HasCandidates()) {
    return RefusalReason::kNoEndpoint;
  }
  const auto limit = lane->service->contract.max_requests_per_second;
  lane->rate.OnArrival(now);
  if (limit > 0 && !lane->rate.Admit(limit, now)) {
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
  auto* const lane = LaneOf(record.arrival.service, now);
  if (!MayProceed(verdict.state)) {
    record.holds_key = false;
    Refuse(record, lane, ReasonOf(verdict.state), actions, now);
    return;
  }
  static_cast<void>(record.state.Claimed());
  Enqueue(record, *lane, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Enqueue(Record& record, Lane& lane,
                                        RequestActions& actions,
                                        TimePoint now) {
  const auto service = record.arrival.service;
  const auto work = record.work;
  if (work == WorkClass::kShort) {
    lane.short_arrivals.Add(1, now);
  }
  const auto& admission = lane.AdmissionOf(work);
  const auto length = lane.QueueOf(work).size();
  if (!admission.CanMeet(length, record.arrival.deadline, now)) {
    Refuse(record, &lane, RefusalReason::kDeadline, actions, now);
    return;
  }
  lane.policy.OnFirstAttempt();
  lane.QueueOf(work).Push(record.ToWaiting());
  Pump(service, lane, actions, now);
  TrimQueue(lane, work, actions, now);
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::TrimQueue(Lane& lane, WorkClass work,
                                          RequestActions& actions,
                                          TimePoint now) {
  auto& queue = lane.QueueOf(work);
  while (!queue.empty() && lane.service != nullptr &&
         lane.AdmissionOf(work).IsFull(queue.size() - 1, lane.service->contract,
                                       now)) {
    const auto victim = queue.Victim(now);
    auto& record = records_.at(victim->request);
    Refuse(record, &lane, RefusalReason::kQueueFull, actions, now);
  }
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_ADMISSION_H_
