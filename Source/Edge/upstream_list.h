#ifndef HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_
#define HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_

#include <algorithm>
#include <cstddef>
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
  // Of a relay: whether it is in this data centre. Ordered by preference.
  enum class Distance : std::uint8_t { kNear, kUnknown, kFar };

  std::optional<SocketAddress> relay;  // nullopt: the platform.
  TimePoint retry_at;
  std::uint32_t failures = 0;
  Distance distance = Distance::kUnknown;
  std::uint64_t near_order = 0;  // Rank among relays of this data centre.
  std::uint64_t far_order = 0;   // Rank among all others.
};

// The upstreams that an instance may call for the directory, in the order of
// preference: relays to which another relay has referred it, the seeds, the
// platform.
class UpstreamList {
 public:
  // `seeds` excludes the instance itself. All instances of a data centre prefer
  // the same one of the seeds in other data centres.
  UpstreamList(const std::vector<SocketAddress>& seeds,
               DataCentreId data_centre, Random& random, TimePoint now);

  // The preferred upstream that may be called at `now`, or else the one that
  // may be called first. `platform_first` puts the platform before the relays.
  [[nodiscard]] auto Choose(bool platform_first, TimePoint now) const
      -> const Upstream&;

  // The upstream; null when it is not in the list.
  auto Find(const std::optional<SocketAddress>& relay) -> Upstream*;

  // Sets the distance of a relay. Invalidates references to upstreams.
  void SetDistance(const SocketAddress& relay, Upstream::Distance distance);

  // Replaces the relays referred to. Seeds among them keep their place as
  // seeds.
  void SetReferred(const std::vector<SocketAddress>& relays, TimePoint now);

  // Removes all relays referred to but this one.
  void KeepOnlyReferred(const SocketAddress& relay);

  // Delays calls to the relay until `retry_at`.
  void BackOff(const SocketAddress& relay, TimePoint retry_at);

  // Allows calls to the relay at once. Adds it to the relays referred to when
  // it is no longer in the list.
  void RetryNow(const SocketAddress& relay, TimePoint now);

  // Allows calls at once to the platform, and to all relays but those that have
  // failed.
  void RetryAll(TimePoint now);

  // Whether one of the upstreams may be called at `now`, or of the relays
  // referred to only.
  [[nodiscard]] auto HasReady(bool referred_only, TimePoint now) const -> bool;

  [[nodiscard]] auto IsSeed(const SocketAddress& relay) const -> bool {
    return std::ranges::find(seeds_, relay, &Upstream::relay) != seeds_.end();
  }
  // Number of seeds, and the platform.
  [[nodiscard]] auto sources() const -> std::size_t {
    return seeds_.size() + 1;
  }
  [[nodiscard]] auto has_seeds() const -> bool { return !seeds_.empty(); }

 private:
  std::vector<Upstream> referred_;
  std::vector<Upstream> seeds_;
  Upstream platform_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_UPSTREAM_LIST_H_
