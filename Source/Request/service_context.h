#ifndef HEMLOCKWICK_REQUEST_SERVICE_CONTEXT_H_
#define HEMLOCKWICK_REQUEST_SERVICE_CONTEXT_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

#include "Request/admission.h"
#include "Request/caller_queue.h"
#include "Request/decayed_rate.h"
#include "Request/endpoint_pool.h"
#include "Request/rate_share.h"
#include "Request/retry_budget.h"

namespace hemlockwick {

// State that one instance keeps for one request service: endpoints, waiting
// requests, limits and budgets.
template <typename Policy>
class ServiceContext {
 public:
  ServiceContext(InstanceId self, TimePoint now) : rate(self, now) {}

  auto QueueOf(WorkClass work) -> CallerQueue& { return queues[Index(work)]; }
  auto AdmissionOf(WorkClass work) -> Admission& {
    return admissions[Index(work)];
  }
  auto SlotTimeOf(WorkClass work) -> DecayedRate& {
    return slot_times[Index(work)];
  }

  // Whether long work is dispatched next although short work waits: it has none
  // running and has used less than its minimum share of slot time.
  auto IsLongDue(TimePoint now) -> bool {
    if (QueueOf(WorkClass::kLong).empty() || long_in_flight > 0) {
      return false;
    }
    const auto long_time = SlotTimeOf(WorkClass::kLong).PerSecond(now);
    const auto short_time = SlotTimeOf(WorkClass::kShort).PerSecond(now);
    return long_time < kMinLongShare * (long_time + short_time);
  }

  // Slots that short work keeps busy at its present arrival rate.
  [[nodiscard]] auto ShortDemand(TimePoint now) const -> double {
    const auto service =
        admissions[Index(WorkClass::kShort)].mean_service_time();
    return short_arrivals.PerSecond(now) *
           std::chrono::duration<double>(service).count();
  }

  [[nodiscard]] auto HasWaiting() const -> bool {
    return !queues[0].empty() || !queues[1].empty();
  }

  const Service* service = nullptr;  // Null once it is no longer published.
  std::uint64_t generation = 0;      // Of the view that the pool reflects.
  EndpointPool pool;
  Policy policy;
  std::array<CallerQueue, 2> queues;
  std::array<Admission, 2> admissions = {Admission(kShortRateWindow, true),
                                         Admission(kLongRateWindow, false)};
  std::array<DecayedRate, 2> slot_times = {DecayedRate(kSlotTimeWindow),
                                           DecayedRate(kSlotTimeWindow)};
  DecayedRate short_arrivals = DecayedRate(kArrivalWindow);
  std::size_t in_flight = 0;
  std::size_t long_in_flight = 0;  // Declared long, or past the short bound.
  std::size_t declared_long_in_flight = 0;
  RetryBudget retries = RetryBudget(0, kMaxSavedRetries);
  RateShare rate;
  // Attempts of short work with the time from which they count as long.
  std::deque<std::pair<TimePoint, RequestId>> reclassifications;
  TimePoint next_dispatch = TimePoint::max();

 private:
  static constexpr double kMinLongShare = 0.05;
  static constexpr double kMaxSavedRetries = 20;
  static constexpr Duration kShortRateWindow = std::chrono::milliseconds(500);
  static constexpr Duration kArrivalWindow = std::chrono::seconds(1);
  static constexpr Duration kLongRateWindow = std::chrono::seconds(10);
  static constexpr Duration kSlotTimeWindow = std::chrono::seconds(5);

  static constexpr auto Index(WorkClass work) -> std::size_t {
    return work == WorkClass::kShort ? 0 : 1;
  }
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_SERVICE_CONTEXT_H_
