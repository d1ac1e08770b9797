#ifndef HEMLOCKWICK_TESTS_CONFIG_SAMPLE_CONFIG_H_
#define HEMLOCKWICK_TESTS_CONFIG_SAMPLE_CONFIG_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

inline constexpr std::int64_t kSampleTime = 1'800'000'000'000;

// Returns an endpoint whose address is unique for each number.
inline auto SampleEndpoint(std::uint32_t number) -> Endpoint {
  auto endpoint = Endpoint();
  endpoint.name = "group/endpoint-" + std::to_string(number);
  endpoint.id = IdFromName<EndpointId>(endpoint.name);
  endpoint.data_centre = IdFromName<DataCentreId>("nelson-a");
  endpoint.address = SocketAddress{Ipv4Address(0x0A000000 + number), Port(80)};
  endpoint.state_since = FromUnixMillis(kSampleTime);
  return endpoint;
}

// Returns a service with `endpoints` endpoints, numbered from `first`.
inline auto SampleService(const std::string& name, std::uint32_t number,
                          std::uint32_t first, std::uint32_t endpoints)
    -> Service {
  auto service = Service();
  service.name = name;
  service.id = IdFromName<ServiceId>(name);
  service.address = SocketAddress{Ipv4Address(0xC0000000 + number), Port(6080)};
  service.bucket_count = 256;
  for (std::uint32_t at = 0; at < endpoints; ++at) {
    service.endpoints.push_back(SampleEndpoint(first + at));
  }
  std::sort(service.endpoints.begin(), service.endpoints.end(),
            [](const Endpoint& left, const Endpoint& right) {
              return left.id < right.id;
            });
  return service;
}

inline auto SampleDataCentres() -> std::vector<DataCentre> {
  return {DataCentre{IdFromName<DataCentreId>("nelson-a"), "nelson-a",
                     IdFromName<RegionId>("nelson")}};
}

inline auto SampleConfig(std::vector<std::shared_ptr<const Service>> services)
    -> std::shared_ptr<const FleetConfig> {
  return BuildFleetConfig(Version(7), Digest(), FromUnixMillis(kSampleTime),
                          SampleDataCentres(), std::move(services));
}

// Returns `count` services with three endpoints each.
inline auto SampleServices(std::uint32_t count)
    -> std::vector<std::shared_ptr<const Service>> {
  auto services = std::vector<std::shared_ptr<const Service>>();
  for (std::uint32_t at = 0; at < count; ++at) {
    services.push_back(std::make_shared<Service>(
        SampleService("service-" + std::to_string(at), at, 3 * at, 3)));
  }
  return services;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TESTS_CONFIG_SAMPLE_CONFIG_H_
