#ifndef HEMLOCKWICK_REQUEST_DISPATCH_POLICY_H_
#define HEMLOCKWICK_REQUEST_DISPATCH_POLICY_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <string_view>

#include "Core/random.h"
#include "Core/time.h"
#include "Request/endpoint_pool.h"
#include "Request/work_class.h"

namespace hemlockwick {

// The request for which an endpoint is wanted.
struct EndpointQuery {
  WorkClass work = WorkClass::kShort;
  Duration waited{0};
  // Requests declared long that this instance has at endpoints.
  std::size_t long_in_flight = 0;
  // Slots that the short work arriving here would keep busy.
  double short_demand = 0;
  // Long work has had less than its least share of slot time.
  bool is_long_due = false;
};

// Chooses the endpoint of the next attempt, or none when the request had
// better wait. One object serves one service on one instance.
//   kName                 name in reports
//   kWaitsAtInstance      whether requests wait here rather than at endpoints
//   Choose                index into the pool of the endpoint to send to
//   OnFirstAttempt        a request arrived
//   OnShed                an endpoint shed an attempt
template <typename P>
concept DispatchPolicy = requires(P policy, const EndpointPool& pool,
                                  const EndpointQuery& query, Random& random,
                                  TimePoint now) {
  { P::kName } -> std::convertible_to<std::string_view>;
  { P::kWaitsAtInstance } -> std::convertible_to<bool>;
  {
    policy.Choose(pool, query, random, now)
    } -> std::same_as<std::optional<std::size_t>>;
  policy.OnFirstAttempt();
  policy.OnShed();
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_DISPATCH_POLICY_H_
