#include "StandIn/local_config.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

constexpr std::uint32_t kBuckets = 1024;
constexpr auto kRequestServiceAddress =
    SocketAddress{Ipv4Address(0x0A000002), Port(80)};

auto NewEndpoint(const std::string& service, std::size_t number,
                 const SocketAddress& address, std::size_t data_centres)
    -> Endpoint {
  const auto& names = LocalDataCentres();
  auto endpoint = Endpoint();
  endpoint.name = EndpointName(service, number);
  endpoint.id = IdFromName<EndpointId>(endpoint.name);
  endpoint.data_centre = IdFromName<DataCentreId>(names[number % data_centres]);
  endpoint.address = address;
  return endpoint;
}

auto FindEndpoint(const Service* service, EndpointId id) -> const Endpoint* {
  if (service == nullptr) {
    return nullptr;
  }
  const auto found = std::ranges::find(service->endpoints, id, &Endpoint::id);
  return found == service->endpoints.end() ? nullptr : &*found;
}

// The endpoints that take new flows.
auto TakingNewFlows(const Service& service) -> std::vector<WeightedEndpoint> {
  auto result = std::vector<WeightedEndpoint>();
  for (const auto& endpoint : service.endpoints) {
    if (endpoint.state != EndpointState::kDraining) {
      result.push_back({endpoint.id, endpoint.address, endpoint.data_centre,
                        endpoint.weight});
    }
  }
  return result;
}

auto HasChanged(const Service& service, const Service& previous) -> bool {
  const auto state = [](const Endpoint& endpoint) {
    return std::pair(endpoint.id, endpoint.state);
  };
  return !std::ranges::equal(service.endpoints, previous.endpoints, {}, state,
                             state);
}

// Takes over what a service remembers of earlier versions.
void Succeed(Service& service, const Service& previous,
             const FleetConfig& previous_config) {
  service.endpoint_history = previous.endpoint_history;
  if (HasChanged(service, previous)) {
    service.endpoint_history.push_back({previous_config.version,
                                        previous_config.published,
                                        TakingNewFlows(previous)});
  }
}

auto NewService(const std::string& name, ServiceKind kind,
                const SocketAddress& address,
                const std::vector<SocketAddress>& endpoints,
                const LocalObjects& objects, const FleetConfig* previous,
                TimePoint published) -> std::shared_ptr<const Service> {
  auto service = std::make_shared<Service>();
  service->name = name;
  service->id = IdFromName<ServiceId>(name);
  service->kind = kind;
  service->address = address;
  service->bucket_count = kBuckets;
  const auto* const before =
      previous == nullptr ? nullptr : FindService(*previous, service->id);
  for (auto number = std::size_t{0}; number < endpoints.size(); ++number) {
    auto endpoint =
        NewEndpoint(name, number, endpoints[number], objects.data_centres);
    if (objects.draining.contains(endpoint.name)) {
      endpoint.state = EndpointState::kDraining;
    }
    const auto* const earlier = FindEndpoint(before, endpoint.id);
    const auto kept = earlier != nullptr && earlier->state == endpoint.state;
    endpoint.state_since = kept ? earlier->state_since : published;
    service->endpoints.push_back(std::move(endpoint));
  }
  std::ranges::sort(service->endpoints, {}, &Endpoint::id);
  if (before != nullptr) {
    Succeed(*service, *before, *previous);
  }
  return service;
}

}  // namespace

auto LocalDataCentres() -> const std::vector<std::string>& {
  static const auto names =
      std::vector<std::string>{"nelson-a", "nelson-b", "nelson-c"};
  return names;
}

auto EndpointName(const std::string& service, std::size_t number)
    -> std::string {
  return service + "-" + std::to_string(number);
}

auto NextLocalConfig(const LocalObjects& objects, const FleetConfig* previous,
                     TimePoint published)
    -> std::shared_ptr<const FleetConfig> {
  const auto version =
      Version(previous == nullptr ? 1 : previous->version.value() + 1);
  auto data_centres = std::vector<DataCentre>();
  const auto& names = LocalDataCentres();
  for (auto number = std::size_t{0}; number < objects.data_centres; ++number) {
    const auto& name = names[number];
    data_centres.push_back(
        {IdFromName<DataCentreId>(name), name, IdFromName<RegionId>("nelson")});
  }
  auto services = std::vector<std::shared_ptr<const Service>>();
  services.push_back(NewService(kFlowService, ServiceKind::kFlow,
                                kFlowServiceAddress, objects.flow_endpoints,
                                objects, previous, published));
  services.push_back(
      NewService(kRequestService, ServiceKind::kRequest, kRequestServiceAddress,
                 objects.request_endpoints, objects, previous, published));
  return BuildFleetConfig(version, Digest(version.value()), published,
                          std::move(data_centres), std::move(services));
}

}  // namespace hemlockwick
