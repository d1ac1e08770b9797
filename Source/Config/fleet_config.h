#ifndef HEMLOCKWICK_CONFIG_FLEET_CONFIG_H_
#define HEMLOCKWICK_CONFIG_FLEET_CONFIG_H_

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// Limits and guarantees for the requests of a service of kind kRequest.
struct Contract {
  std::string name;
  Duration default_deadline = std::chrono::seconds(10);
  Duration max_deadline = std::chrono::seconds(60);
  // Requests expected to run no longer than this are classed as short.
  Duration short_bound = std::chrono::milliseconds(100);
  // Requests with a declared body of at least this size are classed as long.
  std::uint64_t long_body_bytes = 256ULL * 1024;
  std::uint64_t max_body_bytes = 32ULL * 1024 * 1024;
  // Maximum number of requests per second across the fleet; 0 means unlimited.
  std::uint32_t max_requests_per_second = 0;
  // Maximum number of queued requests per instance.
  std::uint32_t max_queue = 256;
  // Retry budget: maximum number of retries as a fraction of first attempts.
  double retry_ratio = 0.1;
  // How long after a request's deadline its Idempotency-Key is remembered.
  Duration key_memory = std::chrono::minutes(5);
  // Whether requests that the local endpoints cannot take may be sent to
  // endpoints in other data centres.
  bool may_spill = true;
};

enum class EndpointState {
  kActive,
  kCold,      // Receives a growing share of new work (slow start).
  kDraining,  // Receives no new work; established flows continue.
};

// One endpoint of one service, as published.
struct Endpoint {
  EndpointId id;
  std::string name;
  DataCentreId data_centre;
  SocketAddress address;
  std::uint32_t weight = 100;
  std::uint32_t slots = 3;
  std::uint32_t max_connections = 2000;
  EndpointState state = EndpointState::kActive;
  // Publication time of the version that set the current state.
  TimePoint state_since;
};

// A member of an EndpointSet, with its share of new flows as a weight.
struct WeightedEndpoint {
  EndpointId id;
  SocketAddress address;
  DataCentreId data_centre;
  std::uint32_t weight = 0;
};

// The endpoints of a service that accept new flows from `version` on, until a
// later set replaces them.
struct EndpointSet {
  Version version;
  TimePoint published;
  std::vector<WeightedEndpoint> endpoints;
};

enum class ServiceKind {
  kFlow,  // Packets are forwarded; the endpoint replies to the caller directly.
  kRequest,  // HTTP requests are dispatched one by one.
};

// A service address, its endpoints and its contract.
struct Service {
  ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kFlow;
  SocketAddress address;
  std::uint32_t bucket_count = 0;
  // The record of a flow expires after this time without a packet.
  Duration idle_timeout = std::chrono::hours(1);
  // Maximum lifetime of a flow.
  Duration flow_lifetime = std::chrono::hours(24);
  Contract contract;
  std::vector<Endpoint> endpoints;  // Sorted by id.
  // Endpoint sets that may still have flows, oldest first. The last one is the
  // current set.
  std::vector<EndpointSet> endpoint_history;
};

struct DataCentre {
  DataCentreId id;
  std::string name;
  RegionId region;
  // The version since which its endpoints get no new work; they are published
  // as draining. Zero while it is in service.
  Version evacuated_since{};
};

// Whether the data centre is evacuated.
[[nodiscard]] inline auto IsEvacuated(const DataCentre& data_centre) -> bool {
  return data_centre.evacuated_since != Version();
}

// One accepted version of the complete configuration. Immutable after
// construction; shared by the control thread and the traffic threads.
struct FleetConfig {
  Version version;
  Digest digest;
  TimePoint published;
  std::vector<DataCentre> data_centres;
  // Sorted by id. Successive versions share the services that did not change.
  std::vector<std::shared_ptr<const Service>> services;
  std::unordered_map<SocketAddress, std::shared_ptr<const Service>> by_address;
};

// Finds a service by its address; null when there is none.
[[nodiscard]] auto FindService(const FleetConfig& config,
                               const SocketAddress& address) -> const Service*;

// Finds a service by its id; null when there is none.
[[nodiscard]] auto FindService(const FleetConfig& config, ServiceId id)
    -> const Service*;

// Sorts `services` by id and fills `by_address`. The endpoints of each service
// must already be sorted by id.
[[nodiscard]] auto BuildFleetConfig(
    Version version, Digest digest, TimePoint published,
    std::vector<DataCentre> data_centres,
    std::vector<std::shared_ptr<const Service>> services)
    -> std::shared_ptr<const FleetConfig>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_FLEET_CONFIG_H_
