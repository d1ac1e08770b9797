#include "Request/likely_free_policy.h"

#include <algorithm>
#include <chrono>

namespace hemlockwick {

namespace {

// Shed attempts that each request may cause on average.
constexpr double kShedsPerRequest = 0.27;

// With nothing saved up, a request waits this long for an endpoint that was
// seen free before it tries others; with more saved up, proportionally less.
constexpr Duration kMaxHold = std::chrono::milliseconds(60);

// Least probability of a free slot at which an attempt is worth its cost.
constexpr double kSureThreshold = 0.7;
constexpr double kProbeThreshold = 0.05;

// Weight of a second free slot when endpoints are equally likely.
constexpr double kSpareSlotWeight = 0.01;
constexpr double kRandomWeight = 0.005;
constexpr double kOtherDataCentreWeight = 0.98;

auto Probability(const EndpointTrack& track, const DispatchNeed& need,
                 double prior, TimePoint now) -> double {
  if (track.in_flight() >= track.slots()) {
    return 0;
  }
  if (need.work == WorkClass::kShort) {
    return track.FreeProbability(1, prior, now);
  }
  if (track.long_in_flight() < track.owned_long_slots()) {
    return track.FreeProbability(1, prior, now);
  }
  if (track.slots() > 1 && track.long_in_flight() + 1 >= track.slots()) {
    return 0;
  }
  return track.FreeProbability(track.slots() > 1 ? 2 : 1, prior, now);
}

}  // namespace

void LikelyFreePolicy::OnFirstAttempt() {
  allowance_ = std::min(allowance_ + kShedsPerRequest, kMaxAllowance);
}

auto LikelyFreePolicy::Choose(const EndpointPool& pool,
                              const DispatchNeed& need, Random& random,
                              TimePoint now) -> std::optional<std::size_t> {
  const auto long_limit = std::max<std::size_t>(pool.owned_long_slots(), 1);
  if (need.work == WorkClass::kLong && need.long_in_flight >= long_limit) {
    return std::nullopt;
  }
  const auto threshold = Threshold(need);
  auto best = std::optional<std::size_t>();
  auto best_score = 0.0;
  for (const auto index : pool.Usable(now)) {
    const auto& track = pool.at(index);
    const auto probability = Probability(track, need, pool.prior(), now);
    if (probability < threshold) {
      continue;
    }
    const auto nearness = track.locality() == Locality::kSameDataCentre
                              ? 1.0
                              : kOtherDataCentreWeight;
    const auto score = probability * nearness +
                       kSpareSlotWeight * track.free_seen() +
                       kRandomWeight * random.Unit();
    if (!best.has_value() || score > best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

auto LikelyFreePolicy::Threshold(const DispatchNeed& need) const -> double {
  const auto spent = 1 - allowance_ / kMaxAllowance;
  const auto hold = static_cast<double>(kMaxHold.count()) * spent;
  const auto waited = static_cast<double>(need.waited.count());
  const auto may_probe = need.work == WorkClass::kShort && waited >= hold;
  return may_probe ? kProbeThreshold : kSureThreshold;
}

}  // namespace hemlockwick
