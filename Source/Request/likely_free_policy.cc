#include "Request/likely_free_policy.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

namespace {

// Shed attempts that each request may cause on average.
constexpr double kShedsPerRequest = 0.25;

// With nothing saved up, a request waits this long for an endpoint that was
// seen free before it tries others; with more saved up, far less.
constexpr Duration kMaxHold = std::chrono::milliseconds(60);
constexpr int kHoldExponent = 5;

// Slots that short work keeps free of long work, as a multiple of its demand.
constexpr double kShortHeadroom = 1.15;

// Least probability of a free slot at which an attempt is worth its cost.
constexpr double kSureThreshold = 0.7;
constexpr double kProbeThreshold = 0.05;
constexpr double kLongProbeThreshold = 0.3;

// Long work waits longer before it tries endpoints that were not seen free.
constexpr Duration kMinLongHold = std::chrono::milliseconds(500);
constexpr double kLongHoldFactor = 20;

// Weight of a second free slot when endpoints are equally likely.
constexpr double kSpareSlotWeight = 0.01;
constexpr double kRandomWeight = 0.005;
constexpr double kOtherDataCentreWeight = 0.98;

// Probability that `track` may run the request at once. An instance without
// a slot for long work of its own sends it where another slot stays free.
auto Probability(const EndpointPool& pool, const EndpointTrack& track,
                 WorkClass work, TimePoint now) -> double {
  const auto prior = pool.prior();
  if (track.in_flight() >= track.slots()) {
    return 0;
  }
  if (work == WorkClass::kShort ||
      track.long_in_flight() < track.owned_long_slots()) {
    return track.FreeProbability(1, prior, now);
  }
  if (pool.owned_long_slots() > 0) {
    return 0;
  }
  const auto needed = std::min(track.slots(), 2U);
  return track.FreeProbability(needed, prior, now);
}

// Most requests declared long that this instance may have in flight: its part
// of the slots for long work, less where its short work needs them.
auto LongLimit(const EndpointPool& pool, const DispatchNeed& need)
    -> std::size_t {
  const auto owned = std::max<std::size_t>(pool.owned_long_slots(), 1);
  const auto spare = static_cast<double>(pool.owned_slots()) -
                     kShortHeadroom * need.short_demand;
  const auto allowed = static_cast<std::size_t>(std::max(spare, 0.0));
  return std::min(allowed, owned);
}

}  // namespace

void LikelyFreePolicy::OnFirstAttempt() {
  allowance_ = std::min(allowance_ + kShedsPerRequest, kMaxAllowance);
}

auto LikelyFreePolicy::Choose(const EndpointPool& pool,
                              const DispatchNeed& need, Random& random,
                              TimePoint now) -> std::optional<std::size_t> {
  if (need.work == WorkClass::kLong && !need.is_due &&
      need.long_in_flight >= LongLimit(pool, need)) {
    return std::nullopt;
  }
  const auto threshold = Threshold(need);
  auto best = std::optional<std::size_t>();
  auto best_score = 0.0;
  for (const auto index : pool.Usable(now)) {
    const auto& track = pool.at(index);
    const auto probability = Probability(pool, track, need.work, now);
    if (probability < threshold) {
      continue;
    }
    const auto nearness = track.locality() == Locality::kSameDataCentre
                              ? 1.0
                              : kOtherDataCentreWeight;
    const auto score = probability * nearness +
                       kSpareSlotWeight * track.free_seen() +
                       kRandomWeight * random.Uniform01();
    if (!best.has_value() || score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

auto LikelyFreePolicy::Threshold(const DispatchNeed& need) const -> double {
  const auto spent = std::max(1 - allowance_ / kMaxAllowance, 0.0);
  const auto hold =
      static_cast<double>(kMaxHold.count()) * std::pow(spent, kHoldExponent);
  const auto waited = static_cast<double>(need.waited.count());
  if (need.work == WorkClass::kLong) {
    const auto long_hold = std::max(hold * kLongHoldFactor,
                                    static_cast<double>(kMinLongHold.count()));
    return waited >= long_hold ? kLongProbeThreshold : kSureThreshold;
  }
  return waited >= hold ? kProbeThreshold : kSureThreshold;
}

}  // namespace hemlockwick
