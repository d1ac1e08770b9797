#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_

// Definitions of RequestCore: choice of the next request and its endpoint.

#include <chrono>
#include <utility>

#include "Request/request_core.h"

namespace hemlockwick {

// Waiting requests look for a slot this often.
inline constexpr Duration kPumpInterval = std::chrono::milliseconds(2);

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Pump(ServiceId id, Lane& lane,
                                     RequestActions& actions, TimePoint now) {
  Refresh(id, lane);
  SchedulePump(id, lane, TimePoint::max());
  if (!lane.HasWaiting()) {
    return;
  }
  if (now < hold_until_) {
    SchedulePump(id, lane, hold_until_);
    return;
  }
  MarkOverdueAsLong(lane, now);
  auto& short_queue = lane.QueueOf(WorkClass::kShort);
  if (lane.IsLongDue(now)) {
    DispatchNext(lane, WorkClass::kLong, actions, now);
  }
  while (DispatchNext(lane, WorkClass::kShort, actions, now)) {
  }
  while (short_queue.empty() &&
         DispatchNext(lane, WorkClass::kLong, actions, now)) {
  }
  for (const auto work : {WorkClass::kShort, WorkClass::kLong}) {
    lane.AdmissionOf(work).OnQueueLength(lane.QueueOf(work).size(), now);
  }
  if (lane.HasWaiting()) {
    SchedulePump(id, lane, now + kPumpInterval);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::DispatchNext(Lane& lane, WorkClass work,
                                             RequestActions& actions,
                                             TimePoint now) -> bool {
  auto& queue = lane.QueueOf(work);
  const auto* const next = queue.Next();
  if (next == nullptr) {
    return false;
  }
  auto& record = records_.at(next->request);
  if (lane.service == nullptr || !lane.pool.HasCandidates()) {
    Refuse(record, &lane,
           lane.service == nullptr ? RefusalReason::kUnknownService
                                   : RefusalReason::kNoEndpoint,
           actions, now);
    return true;
  }
  const auto need = DispatchNeed{
      work, now - next->since, lane.declared_long_in_flight,
      lane.ShortDemand(now), work == WorkClass::kLong && lane.IsLongDue(now)};
  const auto choice = lane.policy.Choose(lane.pool, need, random_, now);
  if (!choice.has_value()) {
    return false;
  }
  auto& track = lane.pool.at(*choice);
  const auto attempt = record.state.Dispatch();
  record.is_probe = !track.IsFresh(now);
  record.endpoint = track.id();
  record.dispatched = now;
  record.holds_slot = true;
  ++lane.in_flight;
  record.counted_as = work;
  track.OnDispatch(work, now);
  queue.PopNext(now);
  lane.AdmissionOf(work).OnDispatch(now);
  if (work == WorkClass::kLong) {
    ++lane.long_in_flight;
    ++lane.declared_long_in_flight;
  } else {
    lane.becoming_long.emplace_back(now + lane.service->contract.short_bound,
                                    record.arrival.request);
  }
  if (attempt == 1) {
    lane.retries.OnFirstAttempt();
  }
  ++stats_.dispatched;
  actions.emplace_back(DispatchRequest{record.arrival.request, attempt,
                                       track.id(), track.address(),
                                       record.arrival.deadline});
  return true;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::MarkOverdueAsLong(Lane& lane, TimePoint now) {
  auto& pending = lane.becoming_long;
  while (!pending.empty() && pending.front().first <= now) {
    const auto [due, request] = pending.front();
    pending.pop_front();
    const auto found = records_.find(request);
    if (found == records_.end() || !found->second.holds_slot ||
        found->second.counted_as == WorkClass::kLong) {
      continue;
    }
    auto& record = found->second;
    const auto bound = lane.service == nullptr
                           ? Duration(0)
                           : lane.service->contract.short_bound;
    auto* const track = lane.pool.Find(record.endpoint);
    if (track != nullptr && now - record.dispatched >= bound) {
      record.counted_as = WorkClass::kLong;
      ++lane.long_in_flight;
      track->OnBecameLong();
    }
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::SchedulePump(ServiceId id, Lane& lane,
                                             TimePoint at) {
  if (lane.next_pump != TimePoint::max()) {
    pumps_.erase({lane.next_pump, id});
  }
  lane.next_pump = at;
  if (at != TimePoint::max()) {
    pumps_.emplace(at, id);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Requeue(Record& record, Lane& lane) {
  lane.QueueOf(record.work).Push(record.ToWaiting(), true);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_
