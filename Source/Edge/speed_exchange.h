#ifndef HEMLOCKWICK_EDGE_SPEED_EXCHANGE_H_
#define HEMLOCKWICK_EDGE_SPEED_EXCHANGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Core/time.h"
#include "Edge/health_report.h"
#include "Edge/reply_aggregator.h"
#include "Edge/shared_speeds.h"
#include "Flow/speed_estimator.h"

namespace hemlockwick {

// Position of an instance in its relay tree.
enum class TreePlace : std::uint8_t {
  kRoot,      // Reads the platform, or is a seed that watches no relay.
  kBelow,     // Watches a relay.
  kDetached,  // Has lost its relay and looks for another upstream.
};

// Shares reply statistics between instances. Sums go up the relay tree and are
// exchanged between roots; the speeds that the roots estimate from them come
// down. A reply counts once at each root: each instance sends a sum to one
// relay, only roots add theirs to their own estimate, and sums from peers are
// not passed on.
class SpeedExchange {
 public:
  // Adds the replies that this instance has observed.
  void AddOwn(const std::vector<ReplySummary>& replies) { sums_.Add(replies); }

  // Adds the replies in the reports of watchers or of other roots.
  void AddReports(const HealthReports& reports, TimePoint now);

  // Records the speeds that the relay above has sent.
  void AddUpstream(const SharedSpeeds& speeds);

  // Takes the sum to be sent to the relay above or, by a root, to its peers;
  // empty when nothing is due. A detached instance discards its sum: it has no
  // receiver, and most replies would be outdated once there is one.
  [[nodiscard]] auto TakeDueSum(TreePlace place, std::size_t relays_above,
                                TimePoint now) -> std::vector<ReplySummary>;

  // Renews the estimate of a root.
  void OnTick(TreePlace place, TimePoint now);

  // The speeds to apply here and to send to watchers: those received from
  // above until they expire, then a root's own estimate; null when there are
  // none. A new root has no estimate of its own until replies have arrived.
  // Valid until the next call of another function.
  [[nodiscard]] auto Current(TimePoint now) const -> const SharedSpeeds*;

 private:
  ReplyAggregator sums_;
  SpeedEstimator estimator_;
  std::optional<SharedSpeeds> received_;
  std::optional<SharedSpeeds> estimated_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SPEED_EXCHANGE_H_
