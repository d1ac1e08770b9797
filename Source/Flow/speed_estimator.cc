#include "Flow/speed_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace hemlockwick {

namespace {

// Age at which a reply counts half, in the recent and the steady mean. With the
// recent one alone, chance moves the weight of an endpoint with 20 replies a
// second by a fifth.
constexpr auto kRecentHalfLife = std::chrono::duration<double>(1);
constexpr auto kSteadyHalfLife = std::chrono::duration<double>(4);

// Standard deviation of a single ratio over its mean, for the work of
// hemlockwick-measure, and number of deviations that chance explains.
constexpr double kRatioDeviation = 1.1;
constexpr double kMaxDeviations = 2;

// Exponent of the speed. Round trips and the assumed replies, which do not
// depend on the endpoint, make it look nearer to 1 than it is.
constexpr double kSpeedExponent = 1.2;

// Replies of ratio 1 that each endpoint is credited with, so that a few long
// requests do not make it slow.
constexpr double kAssumedReplies = 4;

// A single summary counts for at most this ratio and number of replies, as in
// its encoding on the wire.
constexpr double kMaxRatio = 8;
constexpr std::uint32_t kMaxReplies = 4095;

// Higher weights count as 1.
constexpr double kMinUsualWeight = 0.87;

constexpr std::size_t kMaxSharedSpeeds = 256;

// After this time the replies of an endpoint count for less than 1/1,000.
constexpr Duration kMaxAge = std::chrono::seconds(10);

// About 1 MB. Within kMaxAge the reports of ten seconds arrive, with at most
// 256 endpoints each.
constexpr std::size_t kMaxEndpoints = 16'384;

auto DecayOver(Duration time, std::chrono::duration<double> half_life)
    -> double {
  return std::exp2(-std::chrono::duration<double>(time) / half_life);
}

// How far the weight is from 1, as a factor in either direction.
auto DifferenceOf(const SharedSpeed& speed) -> double {
  return std::abs(std::log(speed.weight));
}

}  // namespace

void SpeedEstimator::Add(const std::vector<ReplySummary>& replies,
                         TimePoint now) {
  if (now >= next_sweep_) {
    ForgetOld(now);
    next_sweep_ = now + kMaxAge;
  }
  for (const auto& summary : replies) {
    if (summary.replies == 0 || !std::isfinite(summary.ratio) ||
        summary.ratio < 0) {
      continue;
    }
    auto* const evidence = FindOrAdd(summary.token, now);
    if (evidence != nullptr) {
      AddTo(*evidence, summary, now);
    }
  }
}

void SpeedEstimator::AddTo(Evidence& evidence, const ReplySummary& summary,
                           TimePoint now) {
  const auto age = now - evidence.updated;
  const auto number =
      static_cast<double>(std::min(summary.replies, kMaxReplies));
  const auto ratio = std::min(summary.ratio, kMaxRatio);
  evidence.recent.Add(number, ratio, DecayOver(age, kRecentHalfLife));
  evidence.steady.Add(number, ratio, DecayOver(age, kSteadyHalfLife));
  evidence.updated = now;
  if (Differ(evidence.recent, evidence.steady)) {
    evidence.steady = evidence.recent;
  }
}

// Whether the means differ by more than chance explains.
auto SpeedEstimator::Differ(const Sums& recent, const Sums& steady) -> bool {
  const auto recent_mean = recent.Mean(1);
  const auto steady_mean = steady.Mean(1);
  const auto deviation = kRatioDeviation * std::max(recent_mean, steady_mean) /
                         std::sqrt(recent.replies + kAssumedReplies);
  return std::abs(recent_mean - steady_mean) > kMaxDeviations * deviation;
}

void SpeedEstimator::Sums::Add(double number, double ratio, double decay) {
  replies = replies * decay + number;
  ratios = ratios * decay + number * ratio;
}

auto SpeedEstimator::Sums::Mean(double decay) const -> double {
  return (ratios * decay + kAssumedReplies) /
         (replies * decay + kAssumedReplies);
}

auto SpeedEstimator::Speeds(TimePoint now) const -> std::vector<SharedSpeed> {
  auto speeds = std::vector<SharedSpeed>();
  for (const auto& [token, evidence] : by_endpoint_) {
    // Without new replies the weight returns to 1 quickly: the endpoint may
    // have restarted.
    const auto decay = DecayOver(now - evidence.updated, kRecentHalfLife);
    const auto weight = std::pow(evidence.steady.Mean(decay), -kSpeedExponent);
    if (weight < kMinUsualWeight) {
      speeds.push_back({token, weight});
    }
  }
  const auto kept = std::min(speeds.size(), kMaxSharedSpeeds);
  const auto precedes = [](const SharedSpeed& left, const SharedSpeed& right) {
    const auto left_difference = DifferenceOf(left);
    const auto right_difference = DifferenceOf(right);
    return left_difference != right_difference
               ? left_difference > right_difference
               : left.token < right.token;
  };
  std::ranges::partial_sort(
      speeds, speeds.begin() + static_cast<std::ptrdiff_t>(kept), precedes);
  speeds.resize(kept);
  return speeds;
}

// Null when there is no room.
auto SpeedEstimator::FindOrAdd(FlowToken token, TimePoint now) -> Evidence* {
  const auto found = by_endpoint_.find(token);
  if (found != by_endpoint_.end()) {
    return &found->second;
  }
  if (by_endpoint_.size() >= kMaxEndpoints) {
    return nullptr;
  }
  return &by_endpoint_.emplace(token, Evidence{{}, {}, now}).first->second;
}

void SpeedEstimator::ForgetOld(TimePoint now) {
  std::erase_if(by_endpoint_, [now](const auto& entry) {
    return now - entry.second.updated >= kMaxAge;
  });
}

}  // namespace hemlockwick
