#include "Measure/replay_outcome.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <numeric>

namespace hemlockwick {

namespace {

struct CallerTally {
  double wanted = 0;
  double served = 0;
};

// Returns the level at which max-min fairness caps the demands so that they
// sum to `total`.
auto FairLevel(std::vector<double> demands, double total) -> double {
  std::sort(demands.begin(), demands.end());
  auto left = total;
  for (auto index = std::size_t{0}; index < demands.size(); ++index) {
    const auto level = left / static_cast<double>(demands.size() - index);
    if (demands[index] >= level) {
      return level;
    }
    left -= demands[index];
  }
  return demands.empty() ? 0 : demands.back();
}

}  // namespace

auto ServedShare(const RequestTrace& trace, const ReplayOutcome& outcome,
                 Duration from, Duration to) -> double {
  auto all = 0.0;
  auto served = 0.0;
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    const auto at = trace.requests[index].at;
    if (at < from || at >= to) {
      continue;
    }
    all += 1;
    served += outcome.fates[index].served ? 1 : 0;
  }
  return all == 0 ? 1 : served / all;
}

auto Goodput(const RequestTrace& trace, const ReplayOutcome& outcome,
             Duration from, Duration to) -> double {
  auto served = 0.0;
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    const auto at = trace.requests[index].at;
    served += at >= from && at < to && outcome.fates[index].served ? 1 : 0;
  }
  return served / std::chrono::duration<double>(to - from).count();
}

auto ServedLongShare(const RequestTrace& trace, const ReplayOutcome& outcome)
    -> double {
  auto all = 0.0;
  auto served = 0.0;
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    if (trace.requests[index].is_long) {
      all += 1;
      served += outcome.fates[index].served ? 1 : 0;
    }
  }
  return all == 0 ? 1 : served / all;
}

auto ShortWaitMillis(const RequestTrace& trace, const ReplayOutcome& outcome,
                     double quantile) -> double {
  auto waits = std::vector<Duration>();
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    if (!trace.requests[index].is_long && outcome.fates[index].served) {
      waits.push_back(outcome.fates[index].wait);
    }
  }
  if (waits.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(waits.size() - 1);
  const auto position = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
  const auto nth = waits.begin() + position;
  std::nth_element(waits.begin(), nth, waits.end());
  return std::chrono::duration<double, std::milli>(*nth).count();
}

auto BusiestOverMean(const ReplayOutcome& outcome) -> double {
  const auto sum = std::accumulate(outcome.busy_times.begin(),
                                   outcome.busy_times.end(), Duration(0));
  const auto most =
      *std::max_element(outcome.busy_times.begin(), outcome.busy_times.end());
  const auto mean = static_cast<double>(sum.count()) /
                    static_cast<double>(outcome.busy_times.size());
  return mean == 0 ? 1 : static_cast<double>(most.count()) / mean;
}

auto WorstCallerShare(const RequestTrace& trace, const ReplayOutcome& outcome)
    -> double {
  auto tallies = std::map<std::uint32_t, CallerTally>();
  auto total = 0.0;
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    const auto& request = trace.requests[index];
    if (request.is_long) {
      continue;
    }
    auto& tally = tallies[request.caller];
    tally.wanted += 1;
    tally.served += outcome.fates[index].served ? 1 : 0;
    total += outcome.fates[index].served ? 1 : 0;
  }
  auto demands = std::vector<double>();
  for (const auto& [caller, tally] : tallies) {
    demands.push_back(tally.wanted);
  }
  const auto level = FairLevel(demands, total);
  auto worst = 1.0;
  for (const auto& [caller, tally] : tallies) {
    const auto fair = std::min(level, tally.wanted);
    worst = std::min(worst, fair == 0 ? 1 : tally.served / fair);
  }
  return worst;
}

}  // namespace hemlockwick
