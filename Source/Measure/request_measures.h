#ifndef HEMLOCKWICK_MEASURE_REQUEST_MEASURES_H_
#define HEMLOCKWICK_MEASURE_REQUEST_MEASURES_H_

#include <cstdint>
#include <vector>

#include "Measure/replay_outcome.h"
#include "Measure/report.h"
#include "Measure/request_trace.h"

namespace hemlockwick {

// Replays of one trace: under the chosen policy, its rivals and the limit.
struct PolicyComparison {
  RequestTrace trace;
  // Central queues: one that waits up to the deadline, one that waits no
  // longer than the contract's short bound.
  ReplayOutcome central_until_deadline;
  ReplayOutcome central_within_bound;
  ReplayOutcome chosen;
  std::vector<ReplayOutcome> rivals;
};

// Replays `trace` under every policy.
[[nodiscard]] auto ComparePolicies(RequestTrace trace, std::uint64_t seed)
    -> PolicyComparison;

// Adds the rows of a trace with a swing of demand.
void ReportPeak(const PolicyComparison& comparison, Report& report);

// Adds the rows of steady load at 0.7, 0.9, 1 and 3 times all slot time.
void ReportSteadyLoads(std::uint64_t seed, Report& report);

// Adds the rows of a run of `requests` requests with random faults.
void ReportRandomFaults(std::uint64_t requests, std::uint64_t seed,
                        Report& report);

// Adds the rows of the rate limit that the instances share.
void ReportSharedLimit(std::uint64_t seed, Report& report);

// Adds the row of the decision cost per request at 61,000 endpoints.
void ReportDecisionCost(std::uint64_t seed, Report& report);

// Makes a run with random faults of every kind, for tests and reports.
[[nodiscard]] auto ReplayWithFaults(std::uint64_t requests, std::uint64_t seed)
    -> ReplayOutcome;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUEST_MEASURES_H_
