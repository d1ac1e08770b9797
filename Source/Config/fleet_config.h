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

// What a service promises per request. Applies to services of kind kRequest.
struct Contract {
  std::string name;
  Duration default_deadline = std::chrono::seconds(10);
  Duration max_deadline = std::chrono::seconds(60);
  // Work expected to run no longer than this is short.
  Duration short_bound = std::chrono::milliseconds(100);
  // A request with a declared body of at least this size is long.
  std::uint64_t long_body_bytes = 256ULL * 1024;
  std::uint64_t max_body_bytes = 32ULL * 1024 * 1024;
  // Requests per second over the whole fleet; 0 means unlimited.
  std::uint32_t max_requests_per_second = 0;
  // Waiting requests per instance.
  std::uint32_t max_queue = 256;
  // Retries as a share of first attempts.
  double retry_ratio = 0.1;
  // Time past the deadline for which an Idempotency-Key is remembered.
  Duration key_memory = std::chrono::minutes(5);
  // Whether endpoints in other data centres take work that the local ones
  // cannot.
  bool may_spill = true;
};

enum class EndpointState {
  kActive,
  kCold,      // Takes a rising share of new work (slow start).
  kDraining,  // Takes no new work; its established flows stay.
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
  // When the present state was published.
  TimePoint state_since;
};

// An endpoint with the share of new flows that a past version gave it.
struct WeightedEndpoint {
  EndpointId id;
  SocketAddress address;
  DataCentreId data_centre;
  std::uint32_t weight = 0;
};

// The endpoints that take new flows since a version of a service, until the
// next set replaces them.
struct EndpointSet {
  Version version;
  TimePoint published;
  std::vector<WeightedEndpoint> endpoints;
};

enum class ServiceKind {
  kFlow,     // Packets are forwarded; the endpoint answers the caller itself.
  kRequest,  // HTTP requests are dispatched one by one.
};

// A service address, its endpoints and its contract.
struct Service {
  ServiceId id;
  std::string name;
  ServiceKind kind = ServiceKind::kFlow;
  SocketAddress address;
  std::uint32_t bucket_count = 0;
  // A flow is forgotten after this long without a packet.
  Duration idle_timeout = std::chrono::hours(1);
  // No flow lives longer than this.
  Duration flow_lifetime = std::chrono::hours(24);
  Contract contract;
  std::vector<Endpoint> endpoints;  // Sorted by id.
  // Endpoint sets whose flows may still live, oldest first; the last is the
  // present one.
  std::vector<EndpointSet> endpoint_history;
};

// A data centre and its region.
struct DataCentre {
  DataCentreId id;
  std::string name;
  RegionId region;
};

// One accepted version of the whole set of objects. Immutable once built;
// shared by the control thread and the traffic threads.
struct FleetConfig {
  Version version;
  Digest digest;
  TimePoint published;
  std::vector<DataCentre> data_centres;
  // Sorted by id. Versions share the services that did not change.
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
