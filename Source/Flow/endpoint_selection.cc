#include "Flow/endpoint_selection.h"

#include <limits>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

// Costs, in units of one waiting request on an endpoint with one slot.
constexpr double kWaitingCost = 1.0;
constexpr double kOpenFlowCost = 0.1;
// Added for an endpoint in another data centre, and for one that has not
// answered an earlier copy of the opening.
constexpr double kRemoteCost = 1.0;
constexpr double kAlreadyTriedCost = 1e3;
// Added for an endpoint that leaves requests unanswered. It is still used once
// the others are busier by this much, so that an overload does not exclude many
// endpoints.
constexpr double kFailingCost = 2.0;
// Added for a suspect endpoint; larger than any other cost.
constexpr double kSuspectCost = 1e6;
// Factor for an endpoint that has just started and is still slow.
constexpr double kColdFactor = 1.6;
// Cost of an idle endpoint before the factors, so that slow endpoints rank
// behind.
constexpr double kIdleCost = 0.05;
// Reply time up to which endpoints count as equally fast.
constexpr auto kNormalReplyTime = std::chrono::milliseconds(100);

auto SlownessFactor(const EndpointStats& stats) -> double {
  if (stats.reply_time <= kNormalReplyTime) {
    return 1.0;
  }
  return static_cast<double>(stats.reply_time.count()) /
         static_cast<double>(Duration(kNormalReplyTime).count());
}

auto CostOf(const DirectoryEndpoint& endpoint,
            const EndpointStatsMap& endpoint_stats,
            const OpeningRequest& request, TimePoint now) -> double {
  auto cost = kIdleCost;
  auto is_failing = false;
  const auto found = endpoint_stats.find(endpoint.token);
  if (found != endpoint_stats.end()) {
    const auto& stats = found->second;
    cost +=
        kWaitingCost * stats.waiting_flows + kOpenFlowCost * stats.open_flows;
    cost *= SlownessFactor(stats);
    cost += stats.health.IsSuspect(now) ? kSuspectCost : 0;
    is_failing = stats.health.IsFailing(now);
  }
  cost /= endpoint.report.slots;
  cost *= now < endpoint.report.cold_until ? kColdFactor : 1.0;
  const auto is_near = endpoint.report.data_centre == request.data_centre;
  cost += is_near ? 0 : kRemoteCost;
  cost += is_failing ? kFailingCost : 0;
  cost += endpoint.token == request.tried_endpoint ? kAlreadyTriedCost : 0;
  return cost;
}

// Selects the service of a flow, in proportion to the weights of the targets.
auto SelectService(const Route& route, FlowKey flow) -> ServiceId {
  auto total = std::uint64_t{0};
  for (const auto& target : route.targets) {
    total += target.weight;
  }
  if (total == 0) {
    return ServiceId();
  }
  auto point = MixWords(flow.value(), total) % total;
  for (const auto& target : route.targets) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return ServiceId();
}

}  // namespace

auto SelectEndpoint(const DirectorySnapshot& directory,
                    const EndpointStatsMap& endpoint_stats,
                    const OpeningRequest& request, TimePoint now)
    -> const DirectoryEndpoint* {
  const auto service = SelectService(request.route, request.flow);
  const DirectoryEndpoint* best = nullptr;
  auto best_cost = std::numeric_limits<double>::max();
  auto best_tie = std::uint64_t{0};
  for (const auto& candidate : directory.EligibleEndpointsOf(service)) {
    const auto& endpoint = *candidate;
    const auto cost = CostOf(endpoint, endpoint_stats, request, now);
    // Equal costs are common. Ties are broken by a hash, so that instances do
    // not all prefer the same endpoint.
    const auto tie = MixWords(request.flow.value(), endpoint.token.value());
    if (cost < best_cost || (cost == best_cost && tie > best_tie)) {
      best = &endpoint;
      best_cost = cost;
      best_tie = tie;
    }
  }
  return best;
}

}  // namespace hemlockwick
