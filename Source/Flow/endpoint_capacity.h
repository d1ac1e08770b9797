#ifndef HEMLOCKWICK_FLOW_ENDPOINT_CAPACITY_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_CAPACITY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_speed.h"
#include "Flow/endpoint_stats.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Capacity of endpoints relative to the others of their service, as learned
// from reply times: the speeds that all instances share or, while none have
// arrived for some time, what this instance has observed alone. Used by one
// traffic thread only.
class EndpointCapacity {
 public:
  static constexpr double kMinWeight = 0.2;
  // Quick replies raise no weight above that of the others: an endpoint that
  // fails all requests replies with errors, which are quick, and would attract
  // more and more flows.
  static constexpr double kMaxWeight = 1.0;

  // Replaces the shared speeds. Endpoints that are not listed have weight 1.
  void Apply(const std::vector<SharedSpeed>& speeds, TimePoint now);

  // The endpoint's weight. `stats` may be null.
  [[nodiscard]] auto WeightOf(FlowToken token, const EndpointStats* stats,
                              TimePoint now) const -> double;

 private:
  std::unordered_map<FlowToken, double> shared_;
  std::optional<TimePoint> received_at_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_CAPACITY_H_
