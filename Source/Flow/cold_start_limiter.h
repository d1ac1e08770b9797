#ifndef HEMLOCKWICK_FLOW_COLD_START_LIMITER_H_
#define HEMLOCKWICK_FLOW_COLD_START_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Number of instances to assume while it is not known: a small share of the
// bound in most fleets.
inline constexpr std::uint32_t kUnknownInstances = 1000;

// How many openings all instances together may send to a cold endpoint in any
// second: fewer than `overage` times what its service is published to bear,
// plus `slack`. There is no bound unless both are set.
struct ColdStartSettings {
  double overage = 0;
  double slack = 0;

  // The bound for endpoints that bear this many openings a second while cold;
  // nullopt when there is none.
  [[nodiscard]] auto BoundOf(double cold_openings_per_second) const
      -> std::optional<double>;
};

// The openings per second that `instances` together may be allowed on average,
// so that they reach `bound` openings in a given second with a probability of
// at most 1e-6.
[[nodiscard]] auto SafeOpeningRate(double bound, std::uint32_t instances)
    -> double;

// Limits the openings that one instance sends to cold endpoints to an equal
// share of what all instances may send. In each period of
// instances / SafeOpeningRate seconds there is one random point in time, from
// which on the instance may open one flow for a quarter of a second. Unused
// allowance is lost: saved allowances of many instances would all be used at
// once when a traffic surge begins. Used by one traffic thread only.
class ColdStartLimiter {
 public:
  ColdStartLimiter(InstanceId instance, const ColdStartSettings& settings)
      : instance_(instance), settings_(settings) {}

  // Sets the number of instances that share the bound; at least 1.
  void SetInstances(std::uint32_t instances);

  // Whether this instance may open a flow at a cold endpoint at `now`. The
  // service of the endpoint is published to bear `cold_openings_per_second`.
  // True when there is no bound.
  auto MayOpen(FlowToken endpoint, double cold_openings_per_second,
               TimePoint now) -> bool;

  // Records that a flow is opened at a cold endpoint at `now`.
  void OnOpened(FlowToken endpoint, double cold_openings_per_second,
                TimePoint now);

  [[nodiscard]] auto instances() const -> std::uint32_t { return instances_; }

  // Maximum number of endpoints whose share is kept.
  static constexpr std::size_t kMaxEndpoints = 4096;

 private:
  // The share of this instance at one endpoint.
  struct Share {
    double openings_per_second = 0;  // Published; the period depends on it.
    std::uint32_t instances = 0;     // The period depends on it.
    std::optional<Duration> period;  // nullopt: too long ever to be used.
    // Points in time up to this one are used, or belong to another period.
    TimePoint used_until;
  };

  auto ShareOf(FlowToken endpoint, double openings_per_second, double bound,
               TimePoint now) -> Share&;
  [[nodiscard]] auto PeriodFor(double bound) const -> std::optional<Duration>;
  // The earliest point in time whose allowance is neither used nor lost.
  [[nodiscard]] auto FindAllowance(FlowToken endpoint, const Share& share,
                                   TimePoint now) const
      -> std::optional<TimePoint>;
  [[nodiscard]] auto PointIn(std::int64_t period_number, Duration period,
                             FlowToken endpoint) const -> TimePoint;

  const InstanceId instance_;
  const ColdStartSettings settings_;
  std::uint32_t instances_ = kUnknownInstances;
  std::unordered_map<FlowToken, Share> shares_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_COLD_START_LIMITER_H_
