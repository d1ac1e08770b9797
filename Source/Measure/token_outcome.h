#ifndef HEMLOCKWICK_MEASURE_TOKEN_OUTCOME_H_
#define HEMLOCKWICK_MEASURE_TOKEN_OUTCOME_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Core/time.h"

namespace hemlockwick {

// Why a request missed its aim: the first cause in this order that applies.
enum class MissCause : std::uint8_t {
  kLongWork,          // Its own work takes longer, also on an idle endpoint.
  kUnreachable,       // An endpoint or a data centre did not answer.
  kWaitedNeedlessly,  // Waited while a slot of another endpoint was idle.
  kWaited,            // Waited, and no slot was idle when it arrived.
  kOther,             // Waited for its flow to open, or for several causes.
};
inline constexpr std::size_t kMissCauseCount = 5;

[[nodiscard]] auto ToString(MissCause cause) -> std::string_view;

// What callers saw of a pattern.
struct TokenOutcome {
  std::size_t requests = 0;
  std::size_t late = 0;    // Answered after the aim.
  std::size_t failed = 0;  // Not answered by the deadline.
  std::array<std::size_t, kMissCauseCount> missed_by{};
  // Asked from TokenPattern::counts_from on: all, and those missed for another
  // cause than their own long work.
  std::size_t counted = 0;
  std::size_t counted_waits = 0;
  // Open flows that ended by a reset though their endpoint was within reach.
  std::size_t broken_flows = 0;
  // Openings sent to a dark or grey endpoint once there was time to find it
  // out, and all openings since then.
  std::size_t flows_to_faulty = 0;
  std::size_t flows_since_found = 0;
  // Time that requests of usual length waited at their endpoint.
  std::vector<Duration> short_waits;
  // Requests that each endpoint has run, over the whole pattern.
  std::vector<std::size_t> runs;
  // Of the same endpoints from TokenPattern::counts_from on: openings that were
  // sent to them, and their speeds at the end.
  std::vector<std::size_t> openings;
  std::vector<double> speeds;

  void CountMiss(MissCause cause) {
    ++missed_by.at(static_cast<std::size_t>(cause));
  }

  // Of all requests: those answered late or not at all, and the latter.
  [[nodiscard]] auto missed_share() const -> double;
  // Of the requests from TokenPattern::counts_from on, those missed for another
  // cause than their own long work.
  [[nodiscard]] auto counted_wait_share() const -> double;
  [[nodiscard]] auto failed_share() const -> double;
  [[nodiscard]] auto faulty_share() const -> double;
  [[nodiscard]] auto ShareOf(MissCause cause) const -> double;

  // The wait that `share` of the short requests did not exceed.
  [[nodiscard]] auto ShortWait(double share) const -> Duration;

  // The largest relative difference between the share of the openings that
  // endpoints of one speed got and their share of the capacity.
  [[nodiscard]] auto share_error() const -> double;
  // Openings of the busiest endpoint over the mean, relative to their speeds.
  [[nodiscard]] auto weighted_imbalance() const -> double;

  // Requests of the busiest endpoint over the mean.
  [[nodiscard]] auto imbalance() const -> double;
};

// The largest missed share that chance alone explains when `rival` has missed
// what it has: three standard deviations of the difference above it.
[[nodiscard]] auto NoWorseBound(const TokenOutcome& own,
                                const TokenOutcome& rival) -> double;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_OUTCOME_H_
