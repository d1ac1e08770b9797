#include "Edge/reply_aggregator.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <utility>

#include "Edge/shared_speeds.h"

namespace hemlockwick {

namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

// How much later than its watchers a relay sends its sum: the interval at which
// an instance looks for due sums, and the time of the call. Clocks that differ
// cost up to a second of delay.
constexpr Duration kLevelStep = std::chrono::milliseconds(210);

// Minimum interval after the instance has moved to another level.
constexpr Duration kMinInterval = std::chrono::milliseconds(700);

// Limits the memory, to about 4 MB. More than the endpoints of the largest
// deployment.
constexpr std::size_t kMaxSums = 65'536;

// How much the replies of an endpoint differ from usual ones altogether.
auto DeviationOf(const ReplySummary& summary) -> double {
  return std::abs(summary.ratio - 1) * summary.replies;
}

auto Precedes(const ReplySummary& left, const ReplySummary& right) -> bool {
  const auto left_deviation = DeviationOf(left);
  const auto right_deviation = DeviationOf(right);
  return left_deviation != right_deviation ? left_deviation > right_deviation
                                           : left.token < right.token;
}

}  // namespace

void ReplyAggregator::Add(const std::vector<ReplySummary>& replies) {
  for (const auto& summary : replies) {
    const auto has_room =
        sums_.size() < kMaxSums || sums_.contains(summary.token);
    if (summary.replies == 0 || !std::isfinite(summary.ratio) || !has_room) {
      continue;
    }
    auto& sum = sums_[summary.token];
    sum.replies += summary.replies;
    sum.ratios +=
        std::clamp(summary.ratio, 0.0, kMaxSummaryRatio) * summary.replies;
  }
}

auto ReplyAggregator::TakeDue(std::size_t relays_above, TimePoint now)
    -> std::vector<ReplySummary> {
  auto result = std::vector<ReplySummary>();
  const auto level = static_cast<Duration::rep>(relays_above);
  const auto second = (now.time_since_epoch() + kLevelStep * level) / kInterval;
  if (sums_.empty() || second <= last_second_ ||
      now - last_sent_ < kMinInterval) {
    return result;
  }
  last_second_ = second;
  last_sent_ = now;
  result.reserve(sums_.size());
  for (const auto& [token, sum] : std::exchange(sums_, {})) {
    const auto mean = sum.ratios / static_cast<double>(sum.replies);
    const auto replies =
        std::min<std::uint64_t>(sum.replies, kMaxSummaryReplies);
    result.push_back({token, static_cast<std::uint32_t>(replies), mean});
  }
  const auto kept = std::min(result.size(), kMaxReplySummaries);
  std::ranges::partial_sort(
      result, result.begin() + static_cast<std::ptrdiff_t>(kept), Precedes);
  result.resize(kept);
  return result;
}

}  // namespace hemlockwick
