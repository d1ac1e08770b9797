#include "Flow/cold_start_limiter.h"

#include <algorithm>
#include <cmath>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

// How long an allowance can be used. Longer ones are used more often by
// instances with little traffic, but more of them exist at the start of a
// surge.
constexpr Duration kLifetime = std::chrono::milliseconds(250);

// The openings of one second use allowances that begin within this time.
constexpr double kWindowSeconds = 1.0 + ToSeconds(kLifetime);

// -ln of the largest probability of a second that reaches the bound.
constexpr double kMinExponent = 13.82;

// Instances whose period is longer get no allowance: an endpoint is cold for
// seconds to minutes.
constexpr double kMaxPeriodSeconds = 86'400;

// Limits the periods that are examined, and so the time of a decision, where a
// period is much shorter than kLifetime.
constexpr std::int64_t kMaxPeriods = 64;

// Chernoff bound: -ln of an upper bound of the probability that a sum of
// independent indicators with this mean reaches `count`.
auto ExponentOf(double mean, double count) -> double {
  return mean - count + count * std::log(count / mean);
}

// The largest mean of independent indicators whose sum reaches `count` rarely
// enough.
auto SafeMean(double count) -> double {
  auto low = 0.0;
  auto high = count;
  constexpr auto kSteps = 50;
  for (auto step = 0; step < kSteps; ++step) {
    const auto middle = (low + high) / 2;
    const auto is_safe = ExponentOf(middle, count) >= kMinExponent;
    (is_safe ? low : high) = middle;
  }
  return low;
}

}  // namespace

auto ColdStartSettings::BoundOf(double cold_openings_per_second) const
    -> std::optional<double> {
  if (overage <= 0 || slack <= 0 || cold_openings_per_second <= 0) {
    return std::nullopt;
  }
  return overage * cold_openings_per_second + slack;
}

// The allowances that begin in a window are a sum of independent indicators,
// one for each instance and period that overlaps it. A few instances that have
// several allowances each are bounded better by the number of periods: a window
// as long as k of them overlaps k + 1.
auto SafeOpeningRate(double bound, std::uint32_t instances) -> double {
  const auto count = std::ceil(bound);
  const auto by_chance = SafeMean(count) / kWindowSeconds;
  const auto most = std::floor((count - 1) / instances);
  const auto certain = instances * (most - 1) / kWindowSeconds;
  return std::max(by_chance, certain);
}

void ColdStartLimiter::SetInstances(std::uint32_t instances) {
  instances_ = std::max(instances, std::uint32_t{1});
}

auto ColdStartLimiter::MayOpen(FlowToken endpoint,
                               double cold_openings_per_second, TimePoint now)
    -> bool {
  const auto bound = settings_.BoundOf(cold_openings_per_second);
  if (!bound) {
    return true;
  }
  const auto& share = ShareOf(endpoint, cold_openings_per_second, *bound, now);
  return FindAllowance(endpoint, share, now).has_value();
}

void ColdStartLimiter::OnOpened(FlowToken endpoint,
                                double cold_openings_per_second,
                                TimePoint now) {
  const auto bound = settings_.BoundOf(cold_openings_per_second);
  if (!bound) {
    return;
  }
  auto& share = ShareOf(endpoint, cold_openings_per_second, *bound, now);
  if (const auto point = FindAllowance(endpoint, share, now)) {
    share.used_until = *point;
  }
}

// What is not known of earlier counts as used: the share of an endpoint that is
// new here, or whose period changes, begins now. Otherwise a restart or a
// change of all instances at once would allow additional openings.
auto ColdStartLimiter::ShareOf(FlowToken endpoint, double openings_per_second,
                               double bound, TimePoint now) -> Share& {
  if (shares_.size() >= kMaxEndpoints && !shares_.contains(endpoint)) {
    shares_.clear();
  }
  auto& share = shares_[endpoint];
  if (share.instances != instances_ ||
      share.openings_per_second != openings_per_second) {
    share = {openings_per_second, instances_, PeriodFor(bound), now};
  }
  return share;
}

auto ColdStartLimiter::PeriodFor(double bound) const
    -> std::optional<Duration> {
  const auto seconds = instances_ / SafeOpeningRate(bound, instances_);
  if (seconds > kMaxPeriodSeconds) {
    return std::nullopt;
  }
  // Rounded up, so that a window never overlaps one period more.
  return std::max(Duration(1), std::chrono::ceil<Duration>(
                                   std::chrono::duration<double>(seconds)));
}

auto ColdStartLimiter::FindAllowance(FlowToken endpoint, const Share& share,
                                     TimePoint now) const
    -> std::optional<TimePoint> {
  if (!share.period) {
    return std::nullopt;
  }
  const auto earliest = std::max(share.used_until, now - kLifetime);
  const auto last = now.time_since_epoch() / *share.period;
  const auto first = std::max(earliest.time_since_epoch() / *share.period,
                              last - kMaxPeriods + 1);
  for (auto number = first; number <= last; ++number) {
    const auto point = PointIn(number, *share.period, endpoint);
    if (point > earliest && point <= now) {
      return point;
    }
  }
  return std::nullopt;
}

auto ColdStartLimiter::PointIn(std::int64_t period_number, Duration period,
                               FlowToken endpoint) const -> TimePoint {
  const auto own = MixWords(instance_.value(), endpoint.value());
  const auto hash = MixWords(own, static_cast<std::uint64_t>(period_number));
  const auto length = static_cast<std::uint64_t>(period.count());
  const auto offset = static_cast<std::int64_t>(hash % length);
  return TimePoint(period * period_number + Duration(offset));
}

}  // namespace hemlockwick
