#include "Request/rate_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace hemlockwick {

namespace {

// Fraction of the limit that is divided by the reported demand.
constexpr double kDemandFraction = 0.2;
constexpr Duration kDemandWindow = std::chrono::seconds(2);
// A demand report is valid for this long.
constexpr Duration kReportLifetime = std::chrono::seconds(3);
// Time after which the view of every member contains a member that has started
// or resumed.
constexpr Duration kSettleTime = std::chrono::seconds(10);
// Fraction of its share that a member uses until this time has passed.
constexpr double kUnsettledFraction = 0.1;
// A dead member keeps its share for this long.
constexpr Duration kDeadMemberReserve = std::chrono::seconds(30);
// Size of the token bucket, in seconds at this instance's share of the rate.
constexpr double kBurstSeconds = 0.1;

}  // namespace

RateShare::RateShare(InstanceId self, TimePoint now)
    : self_(self),
      settled_at_(SettleTime(now)),
      demand_(kDemandWindow),
      refilled_(now) {}

void RateShare::OnMembers(const MemberView& members, TimePoint now) {
  auto next = std::unordered_map<InstanceId, Peer>();
  for (const auto& member : members.members) {
    if (member.id == self_) {
      continue;
    }
    const auto known = peers_.find(member.id);
    auto peer = known == peers_.end() ? Peer() : known->second;
    const auto is_dead = member.state == MemberState::kDead;
    if (is_dead && !peer.dead) {
      peer.dead_since = now;
    }
    peer.dead = is_dead;
    peer.reserved =
        std::find(members.unreachable.begin(), members.unreachable.end(),
                  member.data_centre) != members.unreachable.end();
    next.emplace(member.id, peer);
  }
  peers_ = std::move(next);
}

void RateShare::OnReport(InstanceId from, std::uint32_t demand, TimePoint now) {
  const auto found = peers_.find(from);
  if (found != peers_.end()) {
    found->second.demand = demand;
    found->second.reported = now;
  }
}

auto RateShare::TakeReport(TimePoint now) -> std::uint32_t {
  reported_demand_ =
      static_cast<std::uint32_t>(std::lround(demand_.PerSecond(now)));
  return reported_demand_;
}

auto RateShare::Admit(std::uint32_t limit, TimePoint now) -> bool {
  const auto rate = Share(now) * limit;
  const auto elapsed = std::chrono::duration<double>(now - refilled_).count();
  const auto burst = std::max(rate * kBurstSeconds, 1.0);
  tokens_ = std::min(tokens_ + rate * std::max(elapsed, 0.0), burst);
  refilled_ = std::max(refilled_, now);
  if (tokens_ < 1) {
    return false;
  }
  tokens_ -= 1;
  return true;
}

auto RateShare::Share(TimePoint now) const -> double {
  auto members = std::size_t{1};
  auto all_reported = true;
  auto demand = static_cast<double>(reported_demand_);
  for (const auto& [id, peer] : peers_) {
    if (!IsCounted(peer, now)) {
      continue;
    }
    ++members;
    all_reported = all_reported && now - peer.reported <= kReportLifetime;
    demand += peer.demand;
  }
  const auto even = 1.0 / static_cast<double>(members);
  auto share = even;
  if (demand > 0) {
    const auto by_demand = reported_demand_ / demand;
    const auto weighted = all_reported ? by_demand : std::min(by_demand, even);
    share = (1 - kDemandFraction) * even + kDemandFraction * weighted;
  }
  return now < settled_at_ && members > 1 ? share * kUnsettledFraction : share;
}

auto RateShare::SettleTime(TimePoint now) -> TimePoint {
  return now + kSettleTime;
}

auto RateShare::IsCounted(const Peer& peer, TimePoint now) const -> bool {
  return !peer.dead || peer.reserved ||
         now - peer.dead_since < kDeadMemberReserve;
}

}  // namespace hemlockwick
