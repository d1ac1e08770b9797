#include "Measure/flow_world.h"

#include <algorithm>
#include <string>

#include "Flow/bucket_table.h"

namespace hemlockwick {

namespace {

constexpr std::uint32_t kServiceNetwork = 0x0A000001;
constexpr std::uint32_t kEndpointNetwork = 0x0A010000;
constexpr std::uint16_t kServicePort = 443;
constexpr std::uint16_t kEndpointPort = 6080;
constexpr std::uint32_t kBucketCount = 2048;

auto TakesNewFlows(const Endpoint& endpoint) -> bool {
  return endpoint.state != EndpointState::kDraining;
}

auto PresentSet(const Service& service) -> EndpointSet {
  auto set = EndpointSet();
  for (const auto& endpoint : service.endpoints) {
    if (TakesNewFlows(endpoint)) {
      set.endpoints.push_back({endpoint.id, endpoint.address,
                               endpoint.data_centre, endpoint.weight});
    }
  }
  return set;
}

}  // namespace

auto DataCentreAt(std::size_t index) -> DataCentreId {
  return IdFromName<DataCentreId>("site-" + std::to_string(index));
}

FlowWorld::FlowWorld(const std::vector<std::size_t>& endpoints_per_service,
                     TimePoint now) {
  for (std::size_t i = 0; i < endpoints_per_service.size(); ++i) {
    auto service = Service();
    service.name = "service-" + std::to_string(i);
    service.id = IdFromName<ServiceId>(service.name);
    service.address = {
        Ipv4Address(kServiceNetwork + static_cast<std::uint32_t>(i)),
        Port(kServicePort)};
    service.bucket_count = kBucketCount;
    services_.push_back(service);
    for (std::size_t j = 0; j < endpoints_per_service[i]; ++j) {
      auto endpoint = MakeEndpoint(i, now);
      endpoint.state = EndpointState::kActive;
      services_[i].endpoints.push_back(endpoint);
    }
    set_began_.push_back(now);
    published_.push_back(nullptr);
  }
  Publish(now);
}

auto FlowWorld::MakeEndpoint(std::size_t service, TimePoint now) -> Endpoint {
  const auto number = next_endpoint_++;
  auto endpoint = Endpoint();
  endpoint.name = "endpoint-" + std::to_string(number);
  endpoint.id = IdFromName<EndpointId>(endpoint.name);
  endpoint.data_centre = DataCentreAt(number % kDataCentreCount);
  endpoint.address = {
      Ipv4Address(kEndpointNetwork + static_cast<std::uint32_t>(number)),
      Port(kEndpointPort)};
  endpoint.state = EndpointState::kCold;
  endpoint.state_since = now;
  service_of_[endpoint.address] = services_[service].id;
  return endpoint;
}

void FlowWorld::Drain(std::size_t index, TimePoint now) {
  auto& endpoints = services_.front().endpoints;
  auto active = std::vector<Endpoint*>();
  for (auto& endpoint : endpoints) {
    if (TakesNewFlows(endpoint)) {
      active.push_back(&endpoint);
    }
  }
  auto& chosen = *active[index % active.size()];
  chosen.state = EndpointState::kDraining;
  chosen.state_since = now;
}

void FlowWorld::Add(TimePoint now) {
  services_.front().endpoints.push_back(MakeEndpoint(0, now));
}

void FlowWorld::ExtendEndpointHistory(std::size_t index, TimePoint now) {
  auto& service = services_[index];
  const auto& before = published_[index];
  if (before == nullptr || SharesOf(*before) == SharesOf(service)) {
    return;
  }
  auto set = PresentSet(*before);
  set.version = Version(next_version_ - 1);
  set.published = set_began_[index];
  service.endpoint_history.push_back(set);
  set_began_[index] = now;
}

auto FlowWorld::Publish(TimePoint now) -> std::shared_ptr<const FleetConfig> {
  for (std::size_t i = 0; i < services_.size(); ++i) {
    ExtendEndpointHistory(i, now);
    auto& endpoints = services_[i].endpoints;
    std::sort(endpoints.begin(), endpoints.end(),
              [](const Endpoint& a, const Endpoint& b) { return a.id < b.id; });
    for (const auto& endpoint : endpoints) {
      known_[endpoint.id] = endpoint;
    }
    if (i == 0 || published_[i] == nullptr) {
      published_[i] = std::make_shared<const Service>(services_[i]);
    }
  }
  auto data_centres = std::vector<DataCentre>();
  for (std::size_t i = 0; i < kDataCentreCount; ++i) {
    data_centres.push_back(
        {DataCentreAt(i), "site-" + std::to_string(i), RegionId(1)});
  }
  const auto version = Version(next_version_++);
  config_ = BuildFleetConfig(version, Digest(version.value()), now,
                             std::move(data_centres), published_);
  return config_;
}

auto FlowWorld::IsForeign(const SocketAddress& address, ServiceId service) const
    -> bool {
  const auto found = service_of_.find(address);
  return found == service_of_.end() || found->second != service;
}

auto FlowWorld::LeavingSince(EndpointId endpoint) const -> TimePoint {
  const auto found = known_.find(endpoint);
  if (found == known_.end() ||
      found->second.state != EndpointState::kDraining) {
    return TimePoint::max();
  }
  return found->second.state_since;
}

auto FlowWorld::DataCentreOf(EndpointId endpoint) const -> DataCentreId {
  return known_.at(endpoint).data_centre;
}

}  // namespace hemlockwick
