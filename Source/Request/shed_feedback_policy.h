#ifndef HEMLOCKWICK_REQUEST_SHED_FEEDBACK_POLICY_H_
#define HEMLOCKWICK_REQUEST_SHED_FEEDBACK_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends to the endpoint with the fewest attempts of this instance in flight,
// and skips an endpoint for a few milliseconds after it has shed an attempt.
class ShedFeedbackPolicy {
 public:
  static constexpr std::string_view kName = "shed-feedback";
  static constexpr bool kWaitsAtInstance = true;

  auto Choose(const EndpointPool& pool, const EndpointQuery& query,
              Random& random, TimePoint now) -> std::optional<std::size_t>;
  void OnFirstAttempt() {}
  void OnShed() {}
};

static_assert(DispatchPolicy<ShedFeedbackPolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_SHED_FEEDBACK_POLICY_H_
