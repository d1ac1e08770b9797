#include "Flow/reply_collector.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr Duration kInterval = std::chrono::seconds(1);

// A reply that took longer than this many usual times counts as this many, so
// that one long request does not make an endpoint slow.
constexpr double kMaxRatio = 8;

auto PhaseOf(InstanceId instance) -> Duration {
  constexpr std::uint64_t kSeed = 0x7265706C69;
  constexpr std::uint64_t kSteps = 1024;
  return kInterval * (MixWords(instance.value(), kSeed) % kSteps) / kSteps;
}

}  // namespace

ReplyCollector::ReplyCollector(InstanceId instance)
    : phase_(PhaseOf(instance)) {}

void ReplyCollector::Add(FlowToken token, double ratio, EndpointStats& stats) {
  if (stats.unreported_replies == 0) {
    endpoints_.push_back(token);
  }
  ++stats.unreported_replies;
  stats.unreported_ratios += std::min(ratio, kMaxRatio);
}

auto ReplyCollector::Take(EndpointStatsMap& endpoint_stats, TimePoint now)
    -> std::vector<ReplySummary> {
  const auto period =
      static_cast<std::int64_t>((now.time_since_epoch() + phase_) / kInterval);
  if (std::exchange(period_, period).value_or(period) == period) {
    return {};
  }
  auto summaries = std::vector<ReplySummary>();
  summaries.reserve(endpoints_.size());
  for (const auto token : endpoints_) {
    const auto found = endpoint_stats.find(token);
    // The stats may have been removed, and added again, since.
    if (found == endpoint_stats.end() ||
        found->second.unreported_replies == 0) {
      continue;
    }
    auto& stats = found->second;
    const auto replies = std::exchange(stats.unreported_replies, 0);
    summaries.push_back(
        {token, replies, std::exchange(stats.unreported_ratios, 0) / replies});
  }
  endpoints_.clear();
  return summaries;
}

}  // namespace hemlockwick
