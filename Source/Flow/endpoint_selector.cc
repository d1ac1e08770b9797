#include "Flow/endpoint_selector.h"

#include <algorithm>
#include <limits>
#include <vector>

#include "Core/hash.h"
#include "Flow/weighted_work.h"

namespace hemlockwick {

namespace {

// Costs, in units of one waiting request on an endpoint with one slot.
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
// Waiting requests for each slot by which a reply takes its usual time longer.
constexpr double kLoadOfUsualReplyTime = 4.0;
// Slowness up to which endpoints count as equally fast: single long requests
// cause that much.
constexpr double kNormalSlowness = 1.5;

auto SlownessFactor(const EndpointStats* stats) -> double {
  return stats == nullptr || stats->slowness <= kNormalSlowness
             ? 1.0
             : stats->slowness;
}

// Cost of the open work without learned capacity.
auto WorkCostOf(const EndpointCandidate& candidate, TimePoint now) -> double {
  const auto& report = candidate.endpoint->report;
  const auto cost = kIdleCost / report.slots + OwnLoadOf(candidate);
  return now < report.cold_until ? cost * kColdFactor : cost;
}

// Cost of the candidate, without what depends on its data centre.
auto CostOf(const EndpointCandidate& candidate, const OpeningRequest& request,
            TimePoint now) -> double {
  const auto& endpoint = *candidate.endpoint;
  auto cost = request.capacity == nullptr
                  ? WorkCostOf(candidate, now)
                  : WeightedWorkCost(candidate, request.flow, now);
  // Beside a learned weight too: own replies show a slow endpoint 1 to 2 s
  // before the others have heard of it.
  cost *= SlownessFactor(candidate.stats);
  if (const auto* const stats = candidate.stats) {
    cost += stats->health.IsSuspect(now) ? kSuspectCost : 0;
    cost += stats->health.IsFailing(now) ? kFailingCost : 0;
  }
  cost += endpoint.token == request.tried_endpoint ? kAlreadyTriedCost : 0;
  return cost;
}

auto CandidatesOf(const DirectorySnapshot& directory, ServiceId service,
                  const EndpointStatsMap& endpoint_stats,
                  const EndpointCapacity* capacity, TimePoint now)
    -> std::vector<EndpointCandidate> {
  const auto endpoints = directory.EligibleEndpointsOf(service);
  auto candidates = std::vector<EndpointCandidate>();
  candidates.reserve(endpoints.size());
  for (const auto& endpoint : endpoints) {
    if (directory.EvacuatedSince(endpoint->report.data_centre)) {
      continue;
    }
    const auto found = endpoint_stats.find(endpoint->token);
    const auto* const stats =
        found == endpoint_stats.end() ? nullptr : &found->second;
    const auto weight = capacity == nullptr
                            ? 1.0
                            : capacity->WeightOf(endpoint->token, stats, now);
    candidates.push_back({endpoint.get(), stats, weight});
  }
  return candidates;
}

// Whether the endpoint is cold and allowed no further opening. Another copy of
// an opening that it has received is no further one.
auto IsExhausted(const DirectoryEndpoint& endpoint,
                 const DirectorySnapshot& directory,
                 const OpeningRequest& request, TimePoint now) -> bool {
  const auto& report = endpoint.report;
  return request.cold_starts != nullptr && now < report.cold_until &&
         endpoint.token != request.tried_endpoint &&
         !request.cold_starts->MayOpen(
             endpoint.token, directory.ColdOpeningsPerSecond(report.service),
             now);
}

}  // namespace

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

auto EndpointSelector::Select(const DirectorySnapshot& directory,
                              const EndpointStatsMap& endpoint_stats,
                              const OpeningRequest& request, TimePoint now)
    -> const DirectoryEndpoint* {
  const auto service = SelectService(request.route, request.flow);
  const auto candidates =
      CandidatesOf(directory, service, endpoint_stats, request.capacity, now);
  const auto loads = DataCentreLoads(candidates, now);
  const auto here = request.data_centre;
  auto& usual = usual_loads_.FindOrAdd(service, now);
  usual.Update(loads.OwnLoadIn(here), now);

  const DirectoryEndpoint* best = nullptr;
  auto best_cost = std::numeric_limits<double>::max();
  auto best_tie = std::uint64_t{0};
  auto exhausted_cost = best_cost;
  for (const auto& candidate : candidates) {
    const auto& endpoint = *candidate.endpoint;
    auto cost = CostOf(candidate, request, now);
    const auto there = endpoint.report.data_centre;
    if (there != here) {
      cost += kRemoteCost + HiddenLoad(loads, usual, here, there);
    }
    if (IsExhausted(endpoint, directory, request, now)) {
      exhausted_cost = std::min(exhausted_cost, cost);
      continue;
    }
    // Equal costs are common. Ties are broken by a hash, so that instances do
    // not all prefer the same endpoint.
    const auto tie = MixWords(request.flow.value(), endpoint.token.value());
    if (cost < best_cost || (cost == best_cost && tie > best_tie)) {
      best = &endpoint;
      best_cost = cost;
      best_tie = tie;
    }
  }
  was_diverted_ = exhausted_cost < best_cost;
  return best;
}

auto EndpointSelector::HiddenLoad(const DataCentreLoads& loads,
                                  const UsualLoad& usual, DataCentreId here,
                                  DataCentreId there) -> double {
  const auto faster = kLoadOfUsualReplyTime * loads.Delay(here, there);
  return std::max(0.0, usual.load() - faster);
}

}  // namespace hemlockwick
