#include "Config/endpoint_set.h"

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

}  // namespace hemlockwick
