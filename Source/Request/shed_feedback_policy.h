#ifndef HEMLOCKWICK_REQUEST_SHED_FEEDBACK_POLICY_H_
#define HEMLOCKWICK_REQUEST_SHED_FEEDBACK_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends to the endpoint on which this instance has least in flight, and passes
// over one that shed an attempt for a few milliseconds.
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
