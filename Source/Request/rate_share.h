#ifndef HEMLOCKWICK_REQUEST_RATE_SHARE_H_
#define HEMLOCKWICK_REQUEST_RATE_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/decayed_rate.h"

namespace hemlockwick {

// Upper bound of the sum of all shares, as a multiple of the limit, however
// the instances' views differ. While they agree, the sum is at most 1.
inline constexpr double kMaxShareSum = 1.35;

// This instance's part of a rate limit that the whole fleet shares, without
// shared state. Most of the limit is split evenly over the members; the rest
// by the demand that members report to one another once a second.
class RateShare {
 public:
  RateShare(InstanceId self, TimePoint now);

  // A member that died keeps its part for a while, and for as long as its
  // whole data centre is unreachable, because it may still be serving.
  void OnMembers(const MemberView& members, TimePoint now);

  // Another member reported its demand, in requests per second.
  void OnReport(InstanceId from, std::uint32_t demand, TimePoint now);

  // This process was suspended: its view may be outdated, so it takes a small
  // part until the view has settled again.
  void OnResumed(TimePoint now) { settled_at_ = SettleTime(now); }

  // Counts a request towards the demand.
  void OnArrival(TimePoint now) { demand_.Add(1, now); }

  // Returns the demand to report; it counts for the own share from now on.
  auto TakeReport(TimePoint now) -> std::uint32_t;

  // Takes one request out of the own part of `limit`; false when it is spent.
  auto Admit(std::uint32_t limit, TimePoint now) -> bool;

  // The own part of the limit, in [0, 1].
  [[nodiscard]] auto Share(TimePoint now) const -> double;

 private:
  struct Peer {
    std::uint32_t demand = 0;
    TimePoint reported;
    TimePoint dead_since;
    bool dead = false;
    bool reserved = false;  // In an unreachable data centre.
  };

  static auto SettleTime(TimePoint now) -> TimePoint;
  [[nodiscard]] auto IsCounted(const Peer& peer, TimePoint now) const -> bool;

  InstanceId self_;
  TimePoint settled_at_;
  DecayedRate demand_;
  std::uint32_t reported_demand_ = 0;
  std::unordered_map<InstanceId, Peer> peers_;
  double tokens_ = 0;
  TimePoint refilled_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_RATE_SHARE_H_
