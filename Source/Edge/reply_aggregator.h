#ifndef HEMLOCKWICK_EDGE_REPLY_AGGREGATOR_H_
#define HEMLOCKWICK_EDGE_REPLY_AGGREGATOR_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_speed.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Sums the reply statistics that an instance and its watchers report, by
// endpoint. Each summary enters exactly one sum.
class ReplyAggregator {
 public:
  void Add(const std::vector<ReplySummary>& replies);

  // Takes the sum, once a second; empty when it is not due yet or there is
  // nothing to report. Lists at most kMaxReplySummaries endpoints, those with
  // the largest deviation from the usual reply time over all their replies; the
  // others are dropped, because an old reply would count like a recent one.
  // `relays_above` of this instance: each level of the tree sends shortly after
  // the one below it, so that a sum reaches the root within the second.
  [[nodiscard]] auto TakeDue(std::size_t relays_above, TimePoint now)
      -> std::vector<ReplySummary>;

 private:
  struct Sum {
    std::uint64_t replies = 0;
    double ratios = 0;  // Sum of the ratios of all replies.
  };

  std::unordered_map<FlowToken, Sum> sums_;
  std::int64_t last_second_ = 0;
  TimePoint last_sent_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_REPLY_AGGREGATOR_H_
