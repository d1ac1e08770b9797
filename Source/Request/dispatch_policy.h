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

// The request for which an endpoint is chosen.
struct EndpointQuery {
  WorkClass work = WorkClass::kShort;
  Duration waited{0};
  // Requests of declared long work that this instance has in flight.
  std::size_t long_in_flight = 0;
  // Slots that short work keeps busy at its present arrival rate.
  double short_demand = 0;
  // Whether long work has received less than its minimum share of slot time.
  bool is_long_due = false;
};

// Chooses the endpoint of the next attempt, or none if the request should wait.
// One object serves one service on one instance.
//   kName                 name in reports
//   kWaitsAtInstance      whether requests wait here rather than at endpoints
//   Choose                index of the chosen endpoint in the pool
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
