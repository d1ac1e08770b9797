#include "Config/service_builder.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "Config/endpoint_set.h"

namespace hemlockwick {

namespace {

auto FindEndpoint(const Service& service, EndpointId id) -> const Endpoint* {
  const auto found =
      std::lower_bound(service.endpoints.begin(), service.endpoints.end(), id,
                       [](const Endpoint& endpoint, EndpointId wanted) {
                         return endpoint.id < wanted;
                       });
  if (found == service.endpoints.end() || found->id != id) {
    return nullptr;
  }
  return &*found;
}

auto BuildEndpoint(const EndpointObject& object,
                   const DataCentreIdSet& evacuated, const Service* previous,
                   TimePoint published) -> Endpoint {
  auto endpoint = Endpoint();
  endpoint.id = IdFromName<EndpointId>(object.name);
  endpoint.name = object.name;
  endpoint.data_centre = IdFromName<DataCentreId>(object.data_centre.name);
  endpoint.address = object.address;
  endpoint.weight = object.weight;
  endpoint.slots = object.slots;
  endpoint.max_connections = object.max_connections;
  endpoint.state = evacuated.contains(endpoint.data_centre)
                       ? EndpointState::kDraining
                       : object.state;
  endpoint.state_since = published;
  const auto* const earlier =
      previous == nullptr ? nullptr : FindEndpoint(*previous, endpoint.id);
  if (earlier != nullptr && earlier->state == endpoint.state) {
    endpoint.state_since = earlier->state_since;
  }
  return endpoint;
}

auto DefaultBuckets(std::size_t endpoints) -> std::uint32_t {
  const auto wanted =
      std::min<std::size_t>(endpoints * kBucketsPerEndpoint, kMaxBuckets);
  return std::max(kMinBuckets,
                  std::bit_ceil(static_cast<std::uint32_t>(wanted)));
}

// Removes the sets whose flows have all ended. A set's last flow begins when
// the next set replaces it.
void PruneEndpointHistory(TimePoint published, Service& service) {
  auto& endpoint_history = service.endpoint_history;
  const auto retention = service.flow_lifetime + kEndpointHistoryMargin;
  auto first_kept = endpoint_history.begin();
  while (first_kept + 1 != endpoint_history.end() &&
         (first_kept + 1)->published + retention <= published) {
    ++first_kept;
  }
  endpoint_history.erase(endpoint_history.begin(), first_kept);
}

void UpdateEndpointHistory(const Service* previous, Version version,
                           TimePoint published, Service& service) {
  if (previous != nullptr) {
    service.endpoint_history = previous->endpoint_history;
  }
  auto& endpoint_history = service.endpoint_history;
  auto current = NewFlowEndpoints(service);
  if (endpoint_history.empty() ||
      !SameEndpoints(endpoint_history.back().endpoints, current)) {
    endpoint_history.push_back(
        EndpointSet{version, published, std::move(current)});
  }
  PruneEndpointHistory(published, service);
}

}  // namespace

auto BuildService(const PlacedService& placed, const DataCentreIdSet& evacuated,
                  const Service* previous, Version version, TimePoint published)
    -> Service {
  const auto& object = *placed.service;
  auto service = Service();
  service.id = IdFromName<ServiceId>(object.name);
  service.name = object.name;
  service.kind = object.mode;
  service.address = object.address;
  service.idle_timeout = object.idle_timeout.value_or(service.idle_timeout);
  service.flow_lifetime = object.flow_lifetime.value_or(service.flow_lifetime);
  service.contract = placed.contract;
  service.endpoints.reserve(placed.endpoints.size());
  for (const auto* endpoint : placed.endpoints) {
    service.endpoints.push_back(
        BuildEndpoint(*endpoint, evacuated, previous, published));
  }
  std::sort(service.endpoints.begin(), service.endpoints.end(),
            [](const Endpoint& left, const Endpoint& right) {
              return left.id < right.id;
            });
  const auto default_buckets = previous == nullptr
                                   ? DefaultBuckets(service.endpoints.size())
                                   : previous->bucket_count;
  service.bucket_count = object.buckets.value_or(default_buckets);
  UpdateEndpointHistory(previous, version, published, service);
  return service;
}

}  // namespace hemlockwick
