#ifndef HEMLOCKWICK_MEASURE_REPLAY_OUTCOME_H_
#define HEMLOCKWICK_MEASURE_REPLAY_OUTCOME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/time.h"
#include "Measure/request_trace.h"

namespace hemlockwick {

// What became of one request of a trace.
struct RequestFate {
  bool served = false;
  Duration wait{0};  // From its arrival to the start of the run that answered.
  std::uint32_t starts = 0;  // Runs begun at endpoints.
};

// Broken promises; all are 0 in a correct run.
struct ReplayFaultCounts {
  std::uint64_t doubled = 0;           // Non-idempotent work that ran twice.
  std::uint64_t false_not_run = 0;     // Refused as not run, but ran.
  std::uint64_t cross_delivered = 0;   // Answer of another or a cut run.
  std::uint64_t two_finals = 0;        // More than one final answer.
  std::uint64_t no_final = 0;          // No final answer by the end.
  std::uint64_t late_to_draining = 0;  // New work after the drain bound.
};

// Outcome of a replay under one policy.
struct ReplayOutcome {
  std::string policy;
  std::vector<RequestFate> fates;    // One per request of the trace.
  std::vector<Duration> busy_times;  // One per endpoint.
  std::uint64_t arrivals = 0;        // Requests with the callers' repeats.
  std::uint64_t dispatches = 0;
  std::uint64_t sheds = 0;
  std::uint64_t retries = 0;
  std::uint64_t late_results = 0;
  std::uint64_t unknown = 0;
  std::uint64_t control_bytes = 0;
  ReplayFaultCounts faults;
};

// Share of the requests that arrived in [from, to) and were served.
[[nodiscard]] auto ServedShare(const RequestTrace& trace,
                               const ReplayOutcome& outcome, Duration from,
                               Duration to) -> double;

// Served requests per second of those that arrived in [from, to).
[[nodiscard]] auto Goodput(const RequestTrace& trace,
                           const ReplayOutcome& outcome, Duration from,
                           Duration to) -> double;

// Share of long requests served.
[[nodiscard]] auto ServedLongShare(const RequestTrace& trace,
                                   const ReplayOutcome& outcome) -> double;

// Quantile of the wait of served short requests, in milliseconds.
[[nodiscard]] auto ShortWaitMillis(const RequestTrace& trace,
                                   const ReplayOutcome& outcome,
                                   double quantile) -> double;

// Busy slot time of the busiest endpoint over the mean.
[[nodiscard]] auto BusiestOverMean(const ReplayOutcome& outcome) -> double;

// Least ratio, over callers, of short requests served to the caller's max-min
// fair share of all that were served.
[[nodiscard]] auto WorstCallerShare(const RequestTrace& trace,
                                    const ReplayOutcome& outcome) -> double;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REPLAY_OUTCOME_H_
