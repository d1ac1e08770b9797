#include "Request/admission.h"

#include <algorithm>
#include <chrono>

namespace hemlockwick {

namespace {

// A queue that has not been empty for this long is a standing queue and is cut
// to the target wait.
constexpr Duration kStandingInterval = std::chrono::milliseconds(500);
// Queues up to this length are never cut.
constexpr std::size_t kMinQueue = 3;
// Below this drain rate, too few requests leave the queue to estimate a wait.
constexpr double kMinDrainRate = 0.5;  // Requests per second.
constexpr int kServiceGain = 16;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(30);

}  // namespace

Admission::Admission(Duration rate_window, bool cuts_standing_queue)
    : drain_rate_(rate_window), cuts_standing_queue_(cuts_standing_queue) {}

void Admission::OnServiceTime(Duration service_time) {
  mean_service_time_ += (service_time - mean_service_time_) / kServiceGain;
}

void Admission::OnQueueLength(std::size_t length, TimePoint now) {
  if (length == 0 || length_ == 0) {
    last_empty_ = now;
  }
  length_ = length;
}

auto Admission::EstimateWait(std::size_t length, TimePoint now) const
    -> Duration {
  const auto rate = drain_rate_.PerSecond(now);
  if (rate < kMinDrainRate) {
    return Duration(0);
  }
  const auto seconds = static_cast<double>(length) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

auto Admission::CanMeetDeadline(std::size_t length, TimePoint deadline,
                                TimePoint now) const -> bool {
  if (length <= kMinQueue) {
    return now < deadline;
  }
  return now + EstimateWait(length, now) + mean_service_time_ < deadline;
}

auto Admission::IsOverloaded(TimePoint now) const -> bool {
  return cuts_standing_queue_ && length_ > 0 &&
         now - last_empty_ >= kStandingInterval;
}

auto Admission::IsFull(std::size_t length, const Contract& contract,
                       TimePoint now) const -> bool {
  if (length >= contract.max_queue) {
    return true;
  }
  return length >= kMinQueue && IsOverloaded(now) &&
         EstimateWait(length, now) > contract.short_bound;
}

auto Admission::RetryAfter(std::size_t length, TimePoint now) const
    -> Duration {
  return std::clamp(EstimateWait(length, now), kMinRetryAfter, kMaxRetryAfter);
}

}  // namespace hemlockwick
