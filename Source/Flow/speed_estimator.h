#ifndef HEMLOCKWICK_FLOW_SPEED_ESTIMATOR_H_
#define HEMLOCKWICK_FLOW_SPEED_ESTIMATOR_H_

#include <unordered_map>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_speed.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Estimates the capacity of endpoints, relative to the others of their service,
// from the reply times that all instances report. An endpoint has two means: a
// recent one that follows changes, and a steady one that is less moved by
// chance and counts as long as the recent one does not contradict it. Used by
// one thread only.
class SpeedEstimator {
 public:
  // Adds replies that instances have reported, one summary or more for each
  // endpoint. Summaries that state no valid ratio are ignored.
  void Add(const std::vector<ReplySummary>& replies, TimePoint now);

  // The endpoints whose weight differs notably from 1, the most different
  // first; at most 256.
  [[nodiscard]] auto Speeds(TimePoint now) const -> std::vector<SharedSpeed>;

 private:
  // Sums over replies, weighted by age.
  struct Sums {
    double replies = 0;
    double ratios = 0;

    void Add(double number, double ratio, double decay);
    // With the assumed replies.
    [[nodiscard]] auto Mean(double decay) const -> double;
  };
  struct Evidence {
    Sums recent;
    Sums steady;
    TimePoint updated;
  };

  static void AddTo(Evidence& evidence, const ReplySummary& summary,
                    TimePoint now);
  static auto Differ(const Sums& recent, const Sums& steady) -> bool;

  auto FindOrAdd(FlowToken token, TimePoint now) -> Evidence*;
  void ForgetOld(TimePoint now);

  std::unordered_map<FlowToken, Evidence> by_endpoint_;
  TimePoint next_sweep_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_SPEED_ESTIMATOR_H_
