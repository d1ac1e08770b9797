#include "Edge/speed_exchange.h"

#include <chrono>

namespace hemlockwick {

namespace {

// An estimate is renewed this often. An answer to watchers, about one a second,
// has speeds that are not older.
constexpr Duration kEstimateInterval = std::chrono::milliseconds(200);

}  // namespace

void SpeedExchange::AddReports(const HealthReports& reports, TimePoint now) {
  for (const auto& report : reports.reports) {
    if (reports.from_peer) {
      estimator_.Add(report.observations.replies, now);
    } else {
      sums_.Add(report.observations.replies);
    }
  }
}

void SpeedExchange::AddUpstream(const SharedSpeeds& speeds) {
  if (!received_ || speeds.at >= received_->at) {
    received_ = speeds;
  }
}

auto SpeedExchange::TakeDueSum(TreePlace place, std::size_t relays_above,
                               TimePoint now) -> std::vector<ReplySummary> {
  auto sum = sums_.TakeDue(relays_above, now);
  if (place == TreePlace::kDetached) {
    return {};
  }
  if (place == TreePlace::kRoot) {
    estimator_.Add(sum, now);
  }
  return sum;
}

void SpeedExchange::OnTick(TreePlace place, TimePoint now) {
  if (place != TreePlace::kRoot) {
    estimated_.reset();
  } else if (!estimated_ || now - estimated_->at >= kEstimateInterval) {
    estimated_ = SharedSpeeds{estimator_.Speeds(now), now};
  }
}

auto SpeedExchange::Current(TimePoint now) const -> const SharedSpeeds* {
  if (received_ && now - received_->at < kSpeedsLifetime) {
    return &*received_;
  }
  return estimated_ ? &*estimated_ : nullptr;
}

}  // namespace hemlockwick
