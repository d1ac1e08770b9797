#include "Request/endpoint_track.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

namespace {

// Age at which an observation of an endpoint weighs half.
constexpr Duration kFreeHalfLife = std::chrono::milliseconds(100);
constexpr Duration kFullHalfLife = std::chrono::milliseconds(4);
// A report counts only when nothing was observed for this long.
constexpr Duration kObservationLife = std::chrono::seconds(1);
constexpr Duration kSlowStart = std::chrono::seconds(10);
constexpr double kSlowStartFloor = 0.2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(200);
constexpr Duration kMaxEjection = std::chrono::seconds(10);
constexpr std::uint32_t kMaxEjectionDoublings = 6;
constexpr double kInitialTrust = 0.9;
constexpr double kTrustGain = 0.1;
// Claims with a lower weight say nothing about the endpoint's honesty.
constexpr double kJudgedClaimWeight = 0.5;

}  // namespace

EndpointTrack::EndpointTrack(const Endpoint& endpoint, Locality locality)
    : id_(endpoint.id), locality_(locality), trust_(kInitialTrust) {
  Update(endpoint, locality);
}

void EndpointTrack::Update(const Endpoint& endpoint, Locality locality) {
  address_ = endpoint.address;
  locality_ = locality;
  state_ = endpoint.state;
  state_since_ = endpoint.state_since;
  slots_ = std::max(endpoint.slots, 1U);
}

void EndpointTrack::OnDispatch(WorkClass work, TimePoint now) {
  last_claim_free_ = free_seen_ > 0;
  last_claim_weight_ = ClaimWeight(now);
  ++in_flight_;
  if (work == WorkClass::kLong) {
    ++long_in_flight_;
  }
  if (free_seen_ > 0) {
    --free_seen_;
  }
}

void EndpointTrack::OnResult(WorkClass counted_as, AttemptOutcome outcome,
                             const EndpointLoad* load, TimePoint now) {
  OnWithdrawn(counted_as);
  switch (outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kCancelled: {
      failures_ = 0;
      JudgeClaim(true);
      auto free = std::min(free_seen_ + 1, slots_);
      if (load != nullptr) {
        const auto busy = std::lround(load->utilization * slots_);
        const auto used =
            static_cast<std::uint32_t>(std::max(busy, 0L)) + load->queued;
        free = slots_ - std::min(used, slots_);
        reported_load_ = load->utilization;
      }
      Observe(std::max(free, 1U), now);
      return;
    }
    case AttemptOutcome::kShed:
      JudgeClaim(false);
      shed_at_ = now;
      reported_load_ = 1;
      Observe(0, now);
      return;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kLost:
      OnFailure(now);
      return;
  }
}

void EndpointTrack::OnWithdrawn(WorkClass counted_as) {
  in_flight_ -= in_flight_ > 0 ? 1 : 0;
  if (counted_as == WorkClass::kLong && long_in_flight_ > 0) {
    --long_in_flight_;
  }
}

void EndpointTrack::OnTimeout(TimePoint now) { OnFailure(now); }

void EndpointTrack::OnBecameLong() { ++long_in_flight_; }

void EndpointTrack::OnReport(const EndpointLoad& load, TimePoint now) {
  reported_load_ = load.utilization;
  if (now - seen_at_ < kObservationLife) {
    return;
  }
  const auto busy = std::lround(load.utilization * slots_);
  const auto used =
      static_cast<std::uint32_t>(std::max(busy, 0L)) + load.queued;
  free_seen_ = slots_ - std::min(used, slots_);
  seen_at_ = std::min(load.measured, now);
}

auto EndpointTrack::FreeProbability(std::uint32_t needed, double prior,
                                    TimePoint now) const -> double {
  const auto weight = ClaimWeight(now);
  const auto claimed = free_seen_ >= needed ? 1.0 : 0.0;
  const auto base = std::pow(prior, needed);
  return (weight * claimed + (1 - weight) * base) * Ramp(now);
}

auto EndpointTrack::IsFresh(TimePoint now) const -> bool {
  return ClaimWeight(now) >= kJudgedClaimWeight;
}

auto EndpointTrack::Ramp(TimePoint now) const -> double {
  if (state_ != EndpointState::kCold) {
    return 1;
  }
  const auto warm = std::chrono::duration<double>(now - state_since_).count() /
                    std::chrono::duration<double>(kSlowStart).count();
  return std::clamp(warm, kSlowStartFloor, 1.0);
}

void EndpointTrack::OnFailure(TimePoint now) {
  const auto doublings = std::min(failures_, kMaxEjectionDoublings);
  const auto ejection = kFirstEjection * (1U << doublings);
  ejected_until_ = now + std::min<Duration>(ejection, kMaxEjection);
  ++failures_;
}

void EndpointTrack::Observe(std::uint32_t free, TimePoint now) {
  free_seen_ = free;
  seen_at_ = now;
}

void EndpointTrack::JudgeClaim(bool accepted) {
  if (last_claim_weight_ < kJudgedClaimWeight) {
    return;
  }
  const auto truthful = accepted == last_claim_free_ ? 1.0 : 0.0;
  trust_ += kTrustGain * (truthful - trust_);
}

auto EndpointTrack::ClaimWeight(TimePoint now) const -> double {
  const auto half_life = free_seen_ > 0 ? kFreeHalfLife : kFullHalfLife;
  const auto age = std::max(now - seen_at_, Duration(0));
  const auto half_lives =
      static_cast<double>(age.count()) / static_cast<double>(half_life.count());
  return trust_ / (1 + half_lives);
}

}  // namespace hemlockwick
