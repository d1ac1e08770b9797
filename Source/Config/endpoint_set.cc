#include "Config/endpoint_set.h"

#include <algorithm>

namespace hemlockwick {

auto NewFlowEndpoints(const Service& service) -> std::vector<WeightedEndpoint> {
  auto endpoints = std::vector<WeightedEndpoint>();
  endpoints.reserve(service.endpoints.size());
  for (const auto& endpoint : service.endpoints) {
    if (endpoint.state == EndpointState::kDraining || endpoint.weight == 0) {
      continue;
    }
    endpoints.push_back(WeightedEndpoint{
        endpoint.id, endpoint.address, endpoint.data_centre, endpoint.weight});
  }
  return endpoints;
}

auto SameEndpoints(const std::vector<WeightedEndpoint>& left,
                   const std::vector<WeightedEndpoint>& right) -> bool {
  const auto same = [](const WeightedEndpoint& one,
                       const WeightedEndpoint& other) {
    return one.id == other.id && one.address == other.address &&
           one.data_centre == other.data_centre && one.weight == other.weight;
  };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

}  // namespace hemlockwick
