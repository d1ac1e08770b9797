#ifndef HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_
#define HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_

#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Returns the endpoints that take new flows, with their shares, sorted by id:
// the input of the present bucket table and, once replaced, of a
// EndpointSet. Draining endpoints and those of weight 0 are left out.
[[nodiscard]] auto NewFlowEndpoints(const Service& service)
    -> std::vector<WeightedEndpoint>;

// Whether two sets give the same endpoints the same shares.
[[nodiscard]] auto SameEndpoints(const std::vector<WeightedEndpoint>& left,
                                 const std::vector<WeightedEndpoint>& right)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_ENDPOINT_SET_H_
