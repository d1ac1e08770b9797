#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_

// Definitions of RequestCore: choice of the next request and its endpoint.

#include <chrono>
#include <utility>

#include "Request/request_core.h"

namespace hemlockwick {

// Interval at which dispatch of waiting requests is retried.
inline constexpr Duration kDispatchInterval = std::chrono::milliseconds(2);

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::DispatchWaiting(ServiceId id, Context& context,
                                                RequestActions& actions,
                                                TimePoint now) {
  Refresh(id, context);
  ScheduleDispatch(id, context, TimePoint::max());
  if (!context.HasWaiting()) {
    return;
  }
  if (now < hold_until_) {
    ScheduleDispatch(id, context, hold_until_);
    return;
  }
  ReclassifyAsLong(context, now);
  auto& short_queue = context.QueueOf(WorkClass::kShort);
  if (context.IsLongDue(now)) {
    DispatchNext(context, WorkClass::kLong, actions, now);
  }
  while (DispatchNext(context, WorkClass::kShort, actions, now)) {
  }
  while (short_queue.empty() &&
         DispatchNext(context, WorkClass::kLong, actions, now)) {
  }
  for (const auto work : {WorkClass::kShort, WorkClass::kLong}) {
    context.AdmissionOf(work).OnQueueLength(context.QueueOf(work).size(), now);
  }
  if (context.HasWaiting()) {
    ScheduleDispatch(id, context, now + kDispatchInterval);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
auto RequestCore<Policy, Keys>::DispatchNext(Context& context, WorkClass work,
                                             RequestActions& actions,
                                             TimePoint now) -> bool {
  auto& queue = context.QueueOf(work);
  const auto* const next = queue.Next();
  if (next == nullptr) {
    return false;
  }
  auto& record = records_.at(next->request);
  if (context.service == nullptr || !context.pool.HasCandidates()) {
    Refuse(record, &context,
           context.service == nullptr ? RefusalReason::kUnknownService
                                      : RefusalReason::kNoEndpoint,
           actions, now);
    return true;
  }
  const auto query =
      EndpointQuery{work, now - next->since, context.declared_long_in_flight,
                    context.ShortDemand(now),
                    work == WorkClass::kLong && context.IsLongDue(now)};
  const auto choice = context.policy.Choose(context.pool, query, random_, now);
  if (!choice.has_value()) {
    return false;
  }
  auto& tracked = context.pool.at(*choice);
  const auto attempt = record.state.Dispatch();
  record.is_probe = !tracked.IsFresh(now);
  record.endpoint = tracked.id();
  record.dispatched = now;
  record.holds_slot = true;
  ++context.in_flight;
  record.counted_class = work;
  tracked.OnDispatch(work, now);
  queue.PopNext(now);
  context.AdmissionOf(work).OnDispatch(now);
  if (work == WorkClass::kLong) {
    ++context.long_in_flight;
    ++context.declared_long_in_flight;
  } else {
    context.reclassifications.emplace_back(
        now + context.service->contract.short_bound, record.arrival.request);
  }
  if (attempt == 1) {
    context.retries.OnFirstAttempt();
  }
  ++stats_.dispatched;
  actions.emplace_back(DispatchRequest{record.arrival.request, attempt,
                                       tracked.id(), tracked.address(),
                                       record.arrival.deadline});
  return true;
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::ReclassifyAsLong(Context& context,
                                                 TimePoint now) {
  auto& pending = context.reclassifications;
  while (!pending.empty() && pending.front().first <= now) {
    const auto [due, request] = pending.front();
    pending.pop_front();
    const auto found = records_.find(request);
    if (found == records_.end() || !found->second.holds_slot ||
        found->second.counted_class == WorkClass::kLong) {
      continue;
    }
    auto& record = found->second;
    const auto bound = context.service == nullptr
                           ? Duration(0)
                           : context.service->contract.short_bound;
    auto* const tracked = context.pool.Find(record.endpoint);
    if (tracked != nullptr && now - record.dispatched >= bound) {
      record.counted_class = WorkClass::kLong;
      ++context.long_in_flight;
      tracked->OnReclassifiedAsLong();
    }
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::ScheduleDispatch(ServiceId id, Context& context,
                                                 TimePoint at) {
  if (context.next_dispatch != TimePoint::max()) {
    scheduled_.erase({context.next_dispatch, id});
  }
  context.next_dispatch = at;
  if (at != TimePoint::max()) {
    scheduled_.emplace(at, id);
  }
}

template <DispatchPolicy Policy, KeyGuard Keys>
void RequestCore<Policy, Keys>::Requeue(Record& record, Context& context) {
  context.QueueOf(record.work).Push(record.ToWaiting(), true);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_DISPATCH_H_
