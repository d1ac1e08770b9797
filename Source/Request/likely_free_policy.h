#ifndef HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_
#define HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends to the endpoint that is most likely to have a free slot, judged by what
// this instance observed there last, and waits while no endpoint is likely
// enough. A budget bounds the attempts that endpoints shed: the more of it is
// left, the sooner less likely endpoints are tried as well; when it is spent,
// requests first wait for an endpoint that was just observed free.
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

  // Number of shed attempts that are still allowed.
  double shed_budget_ = kMaxShedBudget;
};

static_assert(DispatchPolicy<LikelyFreePolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_LIKELY_FREE_POLICY_H_
