#ifndef HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_
#define HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/random.h"
#include "Core/time.h"

namespace hemlockwick {

// The platform or a relay, and when it may be called again.
struct Upstream {
  // Of a relay, in the order of preference.
  enum class Distance : std::uint8_t { kNear, kUnknown, kFar };

  std::optional<SocketAddress> relay;  // Nothing: the platform.
  TimePoint retry_at;
  std::uint32_t failures = 0;
  Distance distance = Distance::kUnknown;
  std::uint64_t near_order = 0;  // Among those of one distance.
  std::uint64_t far_order = 0;
};

// Whom an instance may call for the directory, in the order of its choice:
// relays that another one has named to it, the seeds, the platform.
class UpstreamList {
 public:
  // `seeds` without the instance itself. All instances of a data centre prefer
  // the same one of the seeds of other data centres.
  UpstreamList(const std::vector<SocketAddress>& seeds,
               DataCentreId data_centre, Random& random, TimePoint now);

  // The upstream of choice that may be called at `now`, else the one that may
  // be called first.
  [[nodiscard]] auto Choose(bool platform_first, TimePoint now) const
      -> const Upstream&;

  // The upstream; null when it is not in the list any more.
  auto Find(const std::optional<SocketAddress>& relay) -> Upstream*;

  // Notes where a seed is. References to upstreams become invalid.
  void SetDistance(const SocketAddress& relay, Upstream::Distance distance);

  // Replaces the relays that others have named. Those that are seeds stay
  // seeds.
  void SetReferred(const std::vector<SocketAddress>& relays, TimePoint now);

  // Keeps only this one of the named relays.
  void KeepOnlyReferred(const SocketAddress& relay);

  // Leaves a relay alone until `retry_at`.
  void BackOff(const SocketAddress& relay, TimePoint retry_at);

  // Goes back to a relay at once.
  void RetryNow(const SocketAddress& relay, TimePoint now);

  [[nodiscard]] auto has_referred() const -> bool { return !referred_.empty(); }
  [[nodiscard]] auto has_seeds() const -> bool { return !seeds_.empty(); }

 private:
  std::vector<Upstream> referred_;
  std::vector<Upstream> seeds_;
  Upstream platform_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_
