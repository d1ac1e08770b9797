#include "Flow/endpoint_capacity.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

namespace {

// Shared speeds older than this are not used; relays send them each second.
constexpr Duration kMaxAge = std::chrono::seconds(5);

// Usual replies that each endpoint is credited with when this instance judges
// alone: it sees few replies, and a single long one must not count for much.
constexpr double kAssumedReplies = 4;

auto OwnWeight(const EndpointStats* stats) -> double {
  if (stats == nullptr) {
    return 1;
  }
  return (stats->replies + kAssumedReplies) /
         (stats->replies * stats->slowness + kAssumedReplies);
}

}  // namespace

void EndpointCapacity::Apply(const std::vector<SharedSpeed>& speeds,
                             TimePoint now) {
  shared_.clear();
  for (const auto& speed : speeds) {
    if (std::isfinite(speed.weight)) {
      shared_.emplace(speed.token,
                      std::clamp(speed.weight, kMinWeight, kMaxWeight));
    }
  }
  received_at_ = now;
}

auto EndpointCapacity::WeightOf(FlowToken token, const EndpointStats* stats,
                                TimePoint now) const -> double {
  if (!received_at_ || now - *received_at_ > kMaxAge) {
    return std::clamp(OwnWeight(stats), kMinWeight, kMaxWeight);
  }
  const auto found = shared_.find(token);
  return found == shared_.end() ? 1 : found->second;
}

}  // namespace hemlockwick
