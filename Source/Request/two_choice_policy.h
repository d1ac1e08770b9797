#ifndef HEMLOCKWICK_REQUEST_TWO_CHOICE_POLICY_H_
#define HEMLOCKWICK_REQUEST_TWO_CHOICE_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends at once to the less loaded of two random endpoints, according to their
// load reports.
class TwoChoicePolicy {
 public:
  static constexpr std::string_view kName = "two-choice";
  static constexpr bool kWaitsAtInstance = false;

  auto Choose(const EndpointPool& pool, const EndpointQuery& query,
              Random& random, TimePoint now) -> std::optional<std::size_t>;
  void OnFirstAttempt() {}
  void OnShed() {}
};

static_assert(DispatchPolicy<TwoChoicePolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_TWO_CHOICE_POLICY_H_
