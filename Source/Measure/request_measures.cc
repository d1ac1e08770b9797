#include "Measure/request_measures.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>

#include "Measure/central_queue.h"
#include "Measure/request_replay.h"
#include "Measure/request_slopes.h"
#include "Measure/trace_generator.h"
#include "Request/likely_free_policy.h"
#include "Request/shared_slots_policy.h"
#include "Request/shed_feedback_policy.h"
#include "Request/two_choice_policy.h"
#include "Request/uniform_policy.h"

namespace hemlockwick {

namespace {

constexpr double kServedBound = 0.95;
constexpr double kGoodputBound = 0.9;
constexpr double kWaitFactor = 2;
constexpr double kWaitAllowanceMillis = 5;
constexpr double kUniformFactor = 10;
constexpr double kShedBound = 0.3;
constexpr double kRetryBound = 0.1;
constexpr double kBalanceBound = 1.15;
constexpr double kFairShareBound = 0.9;
constexpr double kControlBytesBound = 2000;
constexpr double kCostBound = 2;
constexpr double kTail = 0.99;
constexpr double kHopMillis = 0.5;
constexpr Duration kSteadyLength = std::chrono::seconds(60);
constexpr Duration kEnd = std::chrono::hours(10);
constexpr Duration kShortBound = std::chrono::milliseconds(100);

auto ShedsPerRequest(const ReplayOutcome& outcome) -> double {
  return outcome.arrivals == 0 ? 0
                               : static_cast<double>(outcome.sheds) /
                                     static_cast<double>(outcome.arrivals);
}

auto RetriesPerRequest(const ReplayOutcome& outcome) -> double {
  return outcome.arrivals == 0 ? 0
                               : static_cast<double>(outcome.retries) /
                                     static_cast<double>(outcome.arrivals);
}

template <typename Figure>
void AddRivals(const PolicyComparison& comparison, Figure figure,
               ReportRow& row) {
  row.rivals.push_back({"central", figure(comparison.central_until_deadline)});
  row.rivals.push_back(
      {"central-prompt", figure(comparison.central_within_bound)});
  for (const auto& rival : comparison.rivals) {
    row.rivals.push_back({rival.policy, figure(rival)});
  }
}

// Adds the rows on the wait of short work.
void ReportWait(const PolicyComparison& comparison, const std::string& where,
                Report& report) {
  const auto wait = [&comparison](const ReplayOutcome& outcome) {
    return ShortWaitMillis(comparison.trace, outcome, kTail);
  };
  // The limit's wait holds no hop to the endpoint.
  const auto limit = wait(comparison.central_within_bound) + kHopMillis;
  AddRivals(comparison, wait,
            report.AtMost(where + ": p99 wait of short work",
                          kWaitFactor * limit + kWaitAllowanceMillis,
                          wait(comparison.chosen), "ms"));
  const auto uniform = wait(comparison.rivals.front());
  report.AtLeast(where + ": wait of uniform over chosen", kUniformFactor,
                 uniform / std::max(wait(comparison.chosen), kHopMillis), "");
}

void ReportSteady(const PolicyComparison& comparison, const std::string& where,
                  Report& report) {
  const auto& trace = comparison.trace;
  ReportWait(comparison, where, report);
  const auto share = [&trace](const ReplayOutcome& outcome) {
    return ServedShare(trace, outcome, Duration(0), kEnd);
  };
  AddRivals(
      comparison, share,
      report.Inform(where + ": served share", share(comparison.chosen), ""));
  const auto long_share = [&trace](const ReplayOutcome& outcome) {
    return ServedLongShare(trace, outcome);
  };
  AddRivals(comparison, long_share,
            report.Inform(where + ": served share of long work",
                          long_share(comparison.chosen), ""));
}

}  // namespace

auto ComparePolicies(RequestTrace trace, std::uint64_t seed)
    -> PolicyComparison {
  auto comparison = PolicyComparison();
  const auto settings = ReplaySettings{.seed = seed};
  comparison.central_until_deadline = ReplayCentral(trace, kEnd);
  comparison.central_within_bound = ReplayCentral(trace, kShortBound);
  comparison.chosen = ReplayTrace<LikelyFreePolicy>(trace, settings);
  comparison.rivals.push_back(ReplayTrace<UniformPolicy>(trace, settings));
  comparison.rivals.push_back(ReplayTrace<TwoChoicePolicy>(trace, settings));
  comparison.rivals.push_back(ReplayTrace<ShedFeedbackPolicy>(trace, settings));
  comparison.rivals.push_back(ReplayTrace<SharedSlotsPolicy>(trace, settings));
  comparison.trace = std::move(trace);
  return comparison;
}

void ReportPeak(const PolicyComparison& comparison, Report& report) {
  const auto& trace = comparison.trace;
  const auto share = [&trace](const ReplayOutcome& outcome) {
    return ServedShare(trace, outcome, trace.peak_from, trace.peak_to);
  };
  const auto limit = std::max(share(comparison.central_until_deadline),
                              share(comparison.central_within_bound));
  AddRivals(comparison, share,
            report.AtLeast(trace.name + ": served share at peak",
                           kServedBound * limit, share(comparison.chosen), ""));
  const auto wait = [&trace](const ReplayOutcome& outcome) {
    return ShortWaitMillis(trace, outcome, kTail);
  };
  AddRivals(comparison, wait,
            report.Inform(trace.name + ": p99 wait of short work",
                          wait(comparison.chosen), "ms"));
  report.AtMost(trace.name + ": retries per request", kRetryBound,
                RetriesPerRequest(comparison.chosen), "");
}

void ReportSteadyLoads(std::uint64_t seed, Report& report) {
  const auto moderate =
      ComparePolicies(MakeSteadyTrace(0.7, kSteadyLength, seed), seed);
  ReportSteady(moderate, "load 0.7", report);
  AddRivals(moderate, BusiestOverMean,
            report.AtMost("load 0.7: busiest endpoint over mean", kBalanceBound,
                          BusiestOverMean(moderate.chosen), ""));
  const auto high =
      ComparePolicies(MakeSteadyTrace(0.9, kSteadyLength, seed), seed);
  ReportSteady(high, "load 0.9", report);
  AddRivals(high, ShedsPerRequest,
            report.AtMost("load 0.9: shed attempts per request", kShedBound,
                          ShedsPerRequest(high.chosen), ""));
  const auto full =
      ComparePolicies(MakeSteadyTrace(1, kSteadyLength, seed), seed);
  ReportSteady(full, "load 1", report);
  const auto overload =
      ComparePolicies(MakeOverloadTrace(3, kSteadyLength, seed), seed);
  ReportSteady(overload, "load 3", report);
  const auto goodput = [](const PolicyComparison& comparison) {
    return Goodput(comparison.trace, comparison.chosen, Duration(0),
                   kSteadyLength);
  };
  report.AtLeast("load 3: goodput over goodput at load 1", kGoodputBound,
                 goodput(overload) / goodput(full), "");
  const auto fairness = [&overload](const ReplayOutcome& outcome) {
    return WorstCallerShare(overload.trace, outcome);
  };
  AddRivals(overload, fairness,
            report.AtLeast("load 3: worst caller's share of its fair share",
                           kFairShareBound, fairness(overload.chosen), ""));
}

auto ReplayWithFaults(std::uint64_t requests, std::uint64_t seed)
    -> ReplayOutcome {
  constexpr double kLoad = 0.8;
  constexpr double kRequestsPerSecond = 400;
  const auto seconds = static_cast<double>(requests) / kRequestsPerSecond;
  auto trace =
      MakeSteadyTrace(kLoad,
                      std::chrono::duration_cast<Duration>(
                          std::chrono::duration<double>(seconds * 1.1)),
                      seed);
  trace.requests.resize(std::min<std::size_t>(requests, trace.requests.size()));
  trace.caller_retries = 2;
  auto settings = ReplaySettings{.seed = seed};
  settings.rates.connection_failed = 0.01;
  settings.rates.answer_lost = 0.01;
  settings.rates.result_repeated = 0.01;
  settings.rates.result_delayed = 0.01;
  settings.rates.caller_gone = 0.02;
  settings.rates.mean_between_crashes = std::chrono::seconds(7);
  settings.rates.mean_between_pauses = std::chrono::seconds(9);
  settings.rates.mean_between_deaths = std::chrono::seconds(11);
  settings.rates.mean_between_versions = std::chrono::seconds(3);
  return ReplayTrace<LikelyFreePolicy>(trace, settings);
}

void ReportRandomFaults(std::uint64_t requests, std::uint64_t seed,
                        Report& report) {
  const auto outcome = ReplayWithFaults(requests, seed);
  const auto& faults = outcome.faults;
  report.Inform("faults: requests", static_cast<double>(outcome.arrivals), "");
  report.Inform("faults: outcome unknown", static_cast<double>(outcome.unknown),
                "");
  report.Inform("faults: late results discarded",
                static_cast<double>(outcome.late_results), "");
  report.AtMost("faults: non-idempotent requests run twice", 0,
                static_cast<double>(faults.doubled), "");
  report.AtMost("faults: false 'not run'", 0,
                static_cast<double>(faults.false_not_run), "");
  report.AtMost("faults: answers cross-delivered or cut", 0,
                static_cast<double>(faults.cross_delivered), "");
  report.AtMost("faults: requests with two final answers", 0,
                static_cast<double>(faults.two_finals), "");
  report.AtMost("faults: requests without a final answer", 0,
                static_cast<double>(faults.no_final), "");
  report.AtMost("faults: new work 3 s after a drain was published", 0,
                static_cast<double>(faults.late_to_draining), "");
  report.AtMost("faults: retries per request", kRetryBound,
                RetriesPerRequest(outcome), "");
}

void ReportSharedLimit(std::uint64_t seed, Report& report) {
  constexpr std::uint32_t kLimit = 200;
  auto trace = MakeSteadyTrace(0.9, kSteadyLength, seed);
  const auto settings =
      ReplaySettings{.max_requests_per_second = kLimit, .seed = seed};
  const auto outcome = ReplayTrace<LikelyFreePolicy>(trace, settings);
  constexpr Duration kSettled = std::chrono::seconds(15);
  const auto admitted = Goodput(trace, outcome, kSettled, kSteadyLength);
  report.AtMost("shared limit: admitted rate over the limit", kMaxShareSum,
                admitted / kLimit, "");
  const auto seconds = std::chrono::duration<double>(kSteadyLength).count();
  const auto bytes = static_cast<double>(outcome.control_bytes);
  report.AtMost(
      "shared limit: control traffic of one instance", kControlBytesBound,
      bytes / seconds / static_cast<double>(settings.instances), "B/s");
}

void ReportDecisionCost(std::uint64_t seed, Report& report) {
  constexpr std::size_t kSmall = 14;
  constexpr std::size_t kLarge = 61'000;
  const auto small = DecisionSeconds(kSmall, seed);
  const auto large = DecisionSeconds(kLarge, seed);
  report.AtMost("decision cost at 61,000 endpoints over 14", kCostBound,
                large / small, "");
}

}  // namespace hemlockwick
