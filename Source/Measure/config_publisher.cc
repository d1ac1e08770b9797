#include "Measure/config_publisher.h"

#include <algorithm>
#include <string>
#include <utility>

namespace hemlockwick {

namespace {

constexpr std::uint32_t kServiceIps = 0xC0000200;   // 192.0.2.0
constexpr std::uint32_t kEndpointIps = 0x0A800000;  // 10.128.0.0
constexpr std::uint32_t kBuckets = 1024;
constexpr std::uint32_t kMaxWeight = 200;

// Maximum number of endpoint sets in the endpoint history of a service.
constexpr std::size_t kMaxHistory = 3;

auto Address(std::uint32_t base, std::size_t number) -> SocketAddress {
  return SocketAddress{Ipv4Address(base + static_cast<std::uint32_t>(number)),
                       Port(443)};
}

auto PastSet(const Service& service, Version version, TimePoint published)
    -> EndpointSet {
  auto past = EndpointSet{version, published, {}};
  for (const auto& endpoint : service.endpoints) {
    past.endpoints.push_back(WeightedEndpoint{
        endpoint.id, endpoint.address, endpoint.data_centre, endpoint.weight});
  }
  return past;
}

}  // namespace

ConfigPublisher::ConfigPublisher(const ConfigSize& size, std::uint64_t seed)
    : random_(seed) {
  for (std::size_t at = 0; at < size.data_centres; ++at) {
    auto data_centre = DataCentre();
    data_centre.name = "dc-" + std::to_string(at);
    data_centre.id = IdFromName<DataCentreId>(data_centre.name);
    data_centre.region = IdFromName<RegionId>("region");
    data_centres_.push_back(std::move(data_centre));
  }
  std::size_t endpoints = 0;
  for (std::size_t at = 0; at < size.services; ++at) {
    auto service = std::make_shared<Service>();
    service->name = "service-" + std::to_string(at);
    service->id = IdFromName<ServiceId>(service->name);
    service->address = Address(kServiceIps, at);
    service->bucket_count = kBuckets;
    for (std::size_t count = 0; count < size.endpoints_per_service; ++count) {
      auto endpoint = Endpoint();
      endpoint.name = service->name + "-" + std::to_string(count);
      endpoint.id = IdFromName<EndpointId>(endpoint.name);
      endpoint.data_centre = data_centres_[endpoints % size.data_centres].id;
      endpoint.address = Address(kEndpointIps, endpoints++);
      service->endpoints.push_back(std::move(endpoint));
    }
    std::sort(service->endpoints.begin(), service->endpoints.end(),
              [](const Endpoint& left, const Endpoint& right) {
                return left.id < right.id;
              });
    services_.push_back(std::move(service));
  }
}

auto ConfigPublisher::NextVersion(TimePoint now)
    -> std::vector<PublishedValue> {
  if (version_ != Version()) {
    ChangeOne(now);
  }
  version_ = Version(version_.value() + 1);
  return EncodeFleetConfig(
      *BuildFleetConfig(version_, Digest(), now, data_centres_, services_));
}

void ConfigPublisher::ChangeOne(TimePoint now) {
  auto& service = services_[random_.Below(services_.size())];
  auto changed = std::make_shared<Service>(*service);
  changed->endpoint_history.push_back(PastSet(*service, version_, now));
  if (changed->endpoint_history.size() > kMaxHistory) {
    changed->endpoint_history.erase(changed->endpoint_history.begin());
  }
  auto& endpoint = changed->endpoints[random_.Below(changed->endpoints.size())];
  endpoint.weight = 1 + static_cast<std::uint32_t>(random_.Below(kMaxWeight));
  service = std::move(changed);
}

}  // namespace hemlockwick
