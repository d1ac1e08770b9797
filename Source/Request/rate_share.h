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
// much the instances' views differ. While the views agree, the sum is at most
// 1.
inline constexpr double kMaxShareSum = 1.35;

// This instance's share of a rate limit of the whole fleet, computed without
// shared state. Most of the limit is divided evenly among the members, the rest
// by the demand that members report to each other once a second.
class RateShare {
 public:
  RateShare(InstanceId self, TimePoint now);

  // Applies a new view. A dead member keeps its share for a while, and for as
  // long as its whole data centre is unreachable, because it may still be
  // serving.
  void OnMembers(const MemberView& members, TimePoint now);

  // Records the demand that another member reported, in requests per second.
  void OnReport(InstanceId from, std::uint32_t demand, TimePoint now);

  // Records that this process was suspended. Its view may be outdated, so it
  // uses only a small part of its share until the view has settled again.
  void OnResumed(TimePoint now) { settled_at_ = SettleTime(now); }

  // Counts a request towards the demand.
  void OnArrival(TimePoint now) { demand_.Add(1, now); }

  // Returns the demand to report, in requests per second. This instance's share
  // is computed from the same value until the next call.
  auto TakeReport(TimePoint now) -> std::uint32_t;

  // Takes one request from this instance's share of `limit`, in requests per
  // second. Returns false if the share is spent.
  auto Admit(std::uint32_t limit, TimePoint now) -> bool;

  // This instance's share of the limit, in [0, 1].
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
