#ifndef HEMLOCKWICK_REQUEST_SHARED_SLOTS_POLICY_H_
#define HEMLOCKWICK_REQUEST_SHARED_SLOTS_POLICY_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "Request/dispatch_policy.h"

namespace hemlockwick {

// Sends only to the slots that the instance owns. Every slot of an endpoint is
// owned by one instance, and all instances own equally many.
class SharedSlotsPolicy {
 public:
  static constexpr std::string_view kName = "shared-slots";
  static constexpr bool kWaitsAtInstance = true;

  auto Choose(const EndpointPool& pool, const EndpointQuery& query,
              Random& random, TimePoint now) -> std::optional<std::size_t>;
  void OnFirstAttempt() {}
  void OnShed() {}
};

static_assert(DispatchPolicy<SharedSlotsPolicy>);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_SHARED_SLOTS_POLICY_H_
