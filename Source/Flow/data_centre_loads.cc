#include "Flow/data_centre_loads.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// Costs, in units of one waiting request on an endpoint with one slot.
constexpr double kWaitingCost = 1.0;
constexpr double kOpenFlowCost = 0.1;

// Replies older than this say nothing about the present load.
constexpr Duration kMaxReplyAge = std::chrono::seconds(10);

// Number of usual replies that each data centre is credited with, so that its
// first replies do not count for too much.
constexpr std::uint32_t kAssumedReplies = 4;

}  // namespace

auto OwnLoadOf(const EndpointCandidate& candidate) -> double {
  if (candidate.stats == nullptr) {
    return 0;
  }
  const auto cost = kWaitingCost * candidate.stats->waiting_flows +
                    kOpenFlowCost * candidate.stats->open_flows;
  return cost / candidate.endpoint->report.slots;
}

DataCentreLoads::DataCentreLoads(std::span<const EndpointCandidate> candidates,
                                 TimePoint now) {
  for (const auto& candidate : candidates) {
    auto& load = FindOrAdd(candidate.endpoint->report.data_centre);
    const auto* const stats = candidate.stats;
    if (stats != nullptr && stats->health.IsSuspect(now)) {
      continue;
    }
    load.weights += candidate.weight;
    load.own += OwnLoadOf(candidate);
    if (stats != nullptr && now - stats->health.last_alive() < kMaxReplyAge) {
      load.slowness += stats->slowness * stats->replies;
      load.replies += stats->replies;
    }
  }
}

auto DataCentreLoads::OwnLoadIn(DataCentreId data_centre) const -> double {
  const auto load = Find(data_centre);
  return load.weights > 0 ? load.own / load.weights : 0;
}

auto DataCentreLoads::Delay(DataCentreId here, DataCentreId there) const
    -> double {
  return SlownessOf(here) - SlownessOf(there);
}

auto DataCentreLoads::SlownessOf(DataCentreId data_centre) const -> double {
  const auto load = Find(data_centre);
  return (load.slowness + kAssumedReplies) / (load.replies + kAssumedReplies);
}

auto DataCentreLoads::FindOrAdd(DataCentreId data_centre) -> Load& {
  const auto found = std::ranges::find(loads_, data_centre, &Load::data_centre);
  return found != loads_.end() ? *found
                               : loads_.emplace_back(Load{data_centre});
}

auto DataCentreLoads::Find(DataCentreId data_centre) const -> Load {
  const auto found = std::ranges::find(loads_, data_centre, &Load::data_centre);
  return found != loads_.end() ? *found : Load{data_centre};
}

}  // namespace hemlockwick
