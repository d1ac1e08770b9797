#include "Request/tracked_endpoint.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

namespace {

// Age at which an observation of free slots, or of none, has half its weight.
constexpr Duration kFreeHalfLife = std::chrono::milliseconds(100);
constexpr Duration kFullHalfLife = std::chrono::milliseconds(4);
// A load report is used only if this instance has observed nothing for this
// long.
constexpr Duration kObservationLifetime = std::chrono::seconds(1);
constexpr Duration kSlowStart = std::chrono::seconds(10);
constexpr double kSlowStartFloor = 0.2;
constexpr Duration kFirstEjection = std::chrono::milliseconds(200);
constexpr Duration kMaxEjection = std::chrono::seconds(10);
constexpr std::uint32_t kMaxEjectionDoublings = 6;
constexpr double kInitialTrust = 0.9;
constexpr double kTrustGain = 0.1;
// An observation with a lower weight is not fresh: an attempt that relies on it
// is a probe, and its result does not change the trust, because it says nothing
// about the reliability of the endpoint's information.
constexpr double kMinScoredWeight = 0.5;

}  // namespace

TrackedEndpoint::TrackedEndpoint(const Endpoint& endpoint, Locality locality)
    : id_(endpoint.id), locality_(locality), trust_(kInitialTrust) {
  Update(endpoint, locality);
}

void TrackedEndpoint::Update(const Endpoint& endpoint, Locality locality) {
  address_ = endpoint.address;
  locality_ = locality;
  state_ = endpoint.state;
  state_since_ = endpoint.state_since;
  slots_ = std::max(endpoint.slots, 1U);
}

void TrackedEndpoint::OnDispatch(WorkClass work, TimePoint now) {
  predicted_free_ = observed_free_ > 0;
  prediction_weight_ = PredictionWeight(now);
  ++in_flight_;
  if (work == WorkClass::kLong) {
    ++long_in_flight_;
  }
  if (observed_free_ > 0) {
    --observed_free_;
  }
}

void TrackedEndpoint::OnResult(WorkClass counted_class, AttemptOutcome outcome,
                               const EndpointLoad* load, TimePoint now) {
  OnWithdrawn(counted_class);
  switch (outcome) {
    case AttemptOutcome::kAnswered:
    case AttemptOutcome::kCancelled: {
      failures_ = 0;
      ScorePrediction(true);
      auto free = std::min(observed_free_ + 1, slots_);
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
      ScorePrediction(false);
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

void TrackedEndpoint::OnWithdrawn(WorkClass counted_class) {
  in_flight_ -= in_flight_ > 0 ? 1 : 0;
  if (counted_class == WorkClass::kLong && long_in_flight_ > 0) {
    --long_in_flight_;
  }
}

void TrackedEndpoint::OnTimeout(TimePoint now) { OnFailure(now); }

void TrackedEndpoint::OnReclassifiedAsLong() { ++long_in_flight_; }

void TrackedEndpoint::OnReport(const EndpointLoad& load, TimePoint now) {
  reported_load_ = load.utilization;
  if (now - observed_at_ < kObservationLifetime) {
    return;
  }
  const auto busy = std::lround(load.utilization * slots_);
  const auto used =
      static_cast<std::uint32_t>(std::max(busy, 0L)) + load.queued;
  observed_free_ = slots_ - std::min(used, slots_);
  observed_at_ = std::min(load.measured, now);
}

auto TrackedEndpoint::FreeProbability(std::uint32_t needed, double prior,
                                      TimePoint now) const -> double {
  const auto weight = PredictionWeight(now);
  const auto observed = observed_free_ >= needed ? 1.0 : 0.0;
  const auto base = std::pow(prior, needed);
  return (weight * observed + (1 - weight) * base) * SlowStartFactor(now);
}

auto TrackedEndpoint::IsFresh(TimePoint now) const -> bool {
  return PredictionWeight(now) >= kMinScoredWeight;
}

auto TrackedEndpoint::SlowStartFactor(TimePoint now) const -> double {
  if (state_ != EndpointState::kCold) {
    return 1;
  }
  const auto warm = std::chrono::duration<double>(now - state_since_).count() /
                    std::chrono::duration<double>(kSlowStart).count();
  return std::clamp(warm, kSlowStartFloor, 1.0);
}

void TrackedEndpoint::OnFailure(TimePoint now) {
  const auto doublings = std::min(failures_, kMaxEjectionDoublings);
  const auto ejection = kFirstEjection * (1U << doublings);
  ejected_until_ = now + std::min<Duration>(ejection, kMaxEjection);
  ++failures_;
}

void TrackedEndpoint::Observe(std::uint32_t free, TimePoint now) {
  observed_free_ = free;
  observed_at_ = now;
}

void TrackedEndpoint::ScorePrediction(bool accepted) {
  if (prediction_weight_ < kMinScoredWeight) {
    return;
  }
  const auto truthful = accepted == predicted_free_ ? 1.0 : 0.0;
  trust_ += kTrustGain * (truthful - trust_);
}

auto TrackedEndpoint::PredictionWeight(TimePoint now) const -> double {
  const auto half_life = observed_free_ > 0 ? kFreeHalfLife : kFullHalfLife;
  const auto age = std::max(now - observed_at_, Duration(0));
  const auto half_lives =
      static_cast<double>(age.count()) / static_cast<double>(half_life.count());
  return trust_ / (1 + half_lives);
}

}  // namespace hemlockwick
