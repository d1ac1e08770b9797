#include "Request/likely_free_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

namespace {

// Shed attempts that each request may cause on average.
constexpr double kShedBudgetPerRequest = 0.25;

// With an empty shed budget, a request waits this long for an endpoint that was
// observed free before it tries others. The wait falls steeply as the budget
// grows.
constexpr Duration kMaxHold = std::chrono::milliseconds(60);
constexpr int kHoldExponent = 5;

// Slots that are kept free of long work, as a multiple of the demand of short
// work.
constexpr double kShortHeadroom = 1.15;

// Smallest probability of a free slot at which an attempt is worthwhile: at
// first, and after the wait of short and of long work.
constexpr double kLikelyThreshold = 0.7;
constexpr double kProbeThreshold = 0.05;
constexpr double kLongProbeThreshold = 0.3;

// Long work waits longer before it tries endpoints that were not observed free.
constexpr Duration kMinLongHold = std::chrono::milliseconds(500);
constexpr double kLongHoldFactor = 20;

// Parts of the score besides the probability: each observed free slot, which
// decides between equally likely endpoints, a random tie-break, and a factor
// for endpoints in other data centres.
constexpr double kSpareSlotWeight = 0.01;
constexpr double kRandomWeight = 0.005;
constexpr double kOtherDataCentreWeight = 0.98;

// Probability that `tracked` can run the request at once. An instance that owns
// no slots for long work sends it where a second slot is free as well.
auto Probability(const EndpointPool& pool, const TrackedEndpoint& tracked,
                 WorkClass work, TimePoint now) -> double {
  const auto prior = pool.prior();
  if (tracked.in_flight() >= tracked.slots()) {
    return 0;
  }
  if (work == WorkClass::kShort ||
      tracked.long_in_flight() < tracked.owned_long_slots()) {
    return tracked.FreeProbability(1, prior, now);
  }
  if (pool.owned_long_slots() > 0) {
    return 0;
  }
  const auto needed = std::min(tracked.slots(), 2U);
  return tracked.FreeProbability(needed, prior, now);
}

// Largest number of requests of declared long work that this instance may have
// in flight: its share of the slots for long work, or fewer if its short work
// needs them.
auto LongLimit(const EndpointPool& pool, const EndpointQuery& query)
    -> std::size_t {
  const auto owned = std::max<std::size_t>(pool.owned_long_slots(), 1);
  const auto spare = static_cast<double>(pool.owned_slots()) -
                     kShortHeadroom * query.short_demand;
  const auto allowed = static_cast<std::size_t>(std::max(spare, 0.0));
  return std::min(allowed, owned);
}

}  // namespace

void LikelyFreePolicy::OnFirstAttempt() {
  shed_budget_ = std::min(shed_budget_ + kShedBudgetPerRequest, kMaxShedBudget);
}

auto LikelyFreePolicy::Choose(const EndpointPool& pool,
                              const EndpointQuery& query, Random& random,
                              TimePoint now) -> std::optional<std::size_t> {
  if (query.work == WorkClass::kLong && !query.is_long_due &&
      query.long_in_flight >= LongLimit(pool, query)) {
    return std::nullopt;
  }
  const auto threshold = Threshold(query);
  auto best = std::optional<std::size_t>();
  auto best_score = 0.0;
  for (const auto index : pool.Usable(now)) {
    const auto& tracked = pool.at(index);
    const auto probability = Probability(pool, tracked, query.work, now);
    if (probability < threshold) {
      continue;
    }
    const auto locality_weight = tracked.locality() == Locality::kSameDataCentre
                                     ? 1.0
                                     : kOtherDataCentreWeight;
    const auto score = probability * locality_weight +
                       kSpareSlotWeight * tracked.observed_free() +
                       kRandomWeight * random.Uniform01();
    if (!best.has_value() || score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

auto LikelyFreePolicy::Threshold(const EndpointQuery& query) const -> double {
  const auto spent = std::max(1 - shed_budget_ / kMaxShedBudget, 0.0);
  const auto hold =
      static_cast<double>(kMaxHold.count()) * std::pow(spent, kHoldExponent);
  const auto waited = static_cast<double>(query.waited.count());
  if (query.work == WorkClass::kLong) {
    const auto long_hold = std::max(hold * kLongHoldFactor,
                                    static_cast<double>(kMinLongHold.count()));
    return waited >= long_hold ? kLongProbeThreshold : kLikelyThreshold;
  }
  return waited >= hold ? kProbeThreshold : kLikelyThreshold;
}

}  // namespace hemlockwick
