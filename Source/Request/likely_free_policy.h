#ifndef HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_
#define HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends to the endpoint most likely to have a free slot, by what this
// instance saw of it last, and waits while no endpoint is likely enough. A
// budget bounds the attempts that endpoints shed: while it lasts, less likely
// endpoints are tried; afterwards only those seen free just now.
class LikelyFreePolicy {
 public:
  static constexpr std::string_view kName = "likely-free";
  static constexpr bool kWaitsAtInstance = true;

  auto Choose(const EndpointPool& pool, const EndpointQuery& query,
              Random& random, TimePoint now) -> std::optional<std::size_t>;
  void OnFirstAttempt();
  void OnShed() { shed_budget_ -= 1; }

 private:
  static constexpr double kMaxShedBudget = 150;

  [[nodiscard]] auto Threshold(const EndpointQuery& query) const -> double;

  // Shed attempts that may still be caused.
  double shed_budget_ = kMaxShedBudget;
};

static_assert(DispatchPolicy<LikelyFreePolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_
