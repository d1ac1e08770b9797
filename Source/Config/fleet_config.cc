#include "Config/fleet_config.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

auto FindService(const FleetConfig& config, const SocketAddress& address)
    -> const Service* {
  const auto found = config.by_address.find(address);
  return found == config.by_address.end() ? nullptr : found->second.get();
}

auto FindService(const FleetConfig& config, ServiceId id) -> const Service* {
  const auto found =
      std::lower_bound(config.services.begin(), config.services.end(), id,
                       [](const std::shared_ptr<const Service>& service,
                          ServiceId wanted) { return service->id < wanted; });
  if (found == config.services.end() || (*found)->id != id) {
    return nullptr;
  }
  return found->get();
}

auto BuildFleetConfig(Version version, Digest digest, TimePoint published,
                      std::vector<DataCentre> data_centres,
                      std::vector<std::shared_ptr<const Service>> services)
    -> std::shared_ptr<const FleetConfig> {
  auto config = std::make_shared<FleetConfig>();
  config->version = version;
  config->digest = digest;
  config->published = published;
  config->data_centres = std::move(data_centres);
  config->services = std::move(services);
  std::sort(
      config->services.begin(), config->services.end(),
      [](const auto& left, const auto& right) { return left->id < right->id; });
  config->by_address.reserve(config->services.size());
  for (const auto& service : config->services) {
    config->by_address.emplace(service->address, service);
  }
  return config;
}

}  // namespace hemlockwick
