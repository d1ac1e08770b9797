#ifndef HEMLOCKWICK_STANDIN_LOCAL_CONFIG_H_
#define HEMLOCKWICK_STANDIN_LOCAL_CONFIG_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// The objects of a fleet on loopback: its data centres, one service with flows
// and one with requests.
struct LocalObjects {
  // The first ones of LocalDataCentres that have instances. Idempotency keys
  // need a majority of them.
  std::size_t data_centres = 3;
  std::vector<SocketAddress> flow_endpoints;
  std::vector<SocketAddress> request_endpoints;
  std::set<std::string> draining;  // Names of endpoints.
};

inline constexpr auto kFlowService = "rollfloor";
inline constexpr auto kRequestService = "blendroom";
inline constexpr auto kFlowServiceAddress =
    SocketAddress{Ipv4Address(0x0A000001), Port(443)};

// Names of the data centres, in order.
[[nodiscard]] auto LocalDataCentres() -> const std::vector<std::string>&;

// Name of the endpoint of a service with this number.
[[nodiscard]] auto EndpointName(const std::string& service, std::size_t number)
    -> std::string;

// Builds the version that follows `previous`, which is null for the first.
[[nodiscard]] auto NextLocalConfig(const LocalObjects& objects,
                                   const FleetConfig* previous,
                                   TimePoint published)
    -> std::shared_ptr<const FleetConfig>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_LOCAL_CONFIG_H_
