#ifndef HEMLOCKWICK_REQUEST_UNIFORM_POLICY_H_
#define HEMLOCKWICK_REQUEST_UNIFORM_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends at once to a random usable endpoint, which queues the work.
class UniformPolicy {
 public:
  static constexpr std::string_view kName = "uniform";
  static constexpr bool kWaitsAtInstance = false;

  auto Choose(const EndpointPool& pool, const EndpointQuery& query,
              Random& random, TimePoint now) -> std::optional<std::size_t>;
  void OnFirstAttempt() {}
  void OnShed() {}
};

static_assert(DispatchPolicy<UniformPolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_UNIFORM_POLICY_H_
