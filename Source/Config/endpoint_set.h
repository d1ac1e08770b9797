#ifndef HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_
#define HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_

#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Returns the endpoints that accept new flows, with their weights, sorted by
// id. Draining endpoints and endpoints of weight 0 are omitted. The current
// bucket table is built from the result, which is also kept as an EndpointSet
// in the service's endpoint history.
[[nodiscard]] auto NewFlowEndpoints(const Service& service)
    -> std::vector<WeightedEndpoint>;

// Whether two sets contain the same endpoints with the same addresses, data
// centres and weights.
[[nodiscard]] auto SameEndpoints(const std::vector<WeightedEndpoint>& left,
                                 const std::vector<WeightedEndpoint>& right)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_
