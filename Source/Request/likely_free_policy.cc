#include "Request/likely_free_policy.h"

namespace hemlockwick {

namespace {

// Shed attempts earned by each request, and how many may be saved up.
constexpr double kShedsPerRequest = 0.25;
constexpr double kMaxSavedSheds = 20;
// Below this many saved attempts only likely endpoints are tried.
constexpr double kScarceSheds = 4;

// Least probability of a free slot at which an attempt is worth its cost.
constexpr double kPlentyThreshold = 0.1;
constexpr double kScarceThreshold = 0.4;
constexpr double kSpentThreshold = 0.8;
constexpr double kLongThreshold = 0.5;

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

LikelyFreePolicy::LikelyFreePolicy()
    : sheds_(kShedsPerRequest, kMaxSavedSheds) {}

auto LikelyFreePolicy::Choose(const EndpointPool& pool,
                              const DispatchNeed& need, Random& random,
                              TimePoint now) -> std::optional<std::size_t> {
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
  if (!sheds_.CanSpend()) {
    return kSpentThreshold;
  }
  if (need.work == WorkClass::kLong) {
    return kLongThreshold;
  }
  return sheds_.tokens() < kScarceSheds ? kScarceThreshold : kPlentyThreshold;
}

}  // namespace hemlockwick
