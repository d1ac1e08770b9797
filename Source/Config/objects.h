#ifndef HEMLOCKWICK_CONFIG_OBJECTS_H_
#define HEMLOCKWICK_CONFIG_OBJECTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/finding.h"
#include "Core/net_address.h"

namespace hemlockwick {

// The name of another object, with the place where it is used.
struct Reference {
  std::string name;
  SourceLocation place;
};

// What every object has.
struct NamedObject {
  std::string name;
  SourceLocation place;
};

// A data centre and the region that it lies in.
struct DataCentreObject : NamedObject {
  std::string region;
};

// Fields of a contract that are absent come from the one it is based on.
struct ContractObject : NamedObject {
  std::optional<Reference> based_on;
  std::optional<Duration> default_deadline;
  std::optional<Duration> max_deadline;
  std::optional<Duration> short_bound;
  std::optional<std::uint64_t> long_body;
  std::optional<std::uint64_t> max_body;
  std::optional<Duration> key_memory;
  std::optional<bool> may_spill;
};

// Limits on the load that a service accepts.
struct LimitsObject : NamedObject {
  std::optional<std::uint32_t> max_requests_per_second;
  std::optional<std::uint32_t> max_queue;
  std::optional<double> retry_ratio;
};

// A service address and what is promised on it.
struct ServiceObject : NamedObject {
  ServiceKind mode = ServiceKind::kFlow;
  SocketAddress address;
  SourceLocation address_place;
  std::optional<Reference> contract;
  std::optional<Reference> limits;
  std::optional<std::uint32_t> buckets;
  std::optional<Duration> idle_timeout;
  std::optional<Duration> flow_lifetime;
};

// An endpoint within its group. `name` is "group/endpoint".
struct EndpointObject : NamedObject {
  Reference data_centre;
  SocketAddress address;
  SourceLocation address_place;
  std::uint32_t weight = Endpoint().weight;
  std::uint32_t slots = Endpoint().slots;
  std::uint32_t max_connections = Endpoint().max_connections;
  EndpointState state = EndpointState::kActive;
};

// Endpoints of its own and those of the groups that it includes.
struct EndpointGroupObject : NamedObject {
  std::vector<Reference> includes;
  std::vector<EndpointObject> endpoints;
};

// Gives a service the endpoints that a group has in some data centres.
struct PlacementObject : NamedObject {
  Reference service;
  Reference group;
  std::vector<Reference> data_centres;
};

// Every object of the files that are checked together, in reading order.
struct ObjectSet {
  std::vector<DataCentreObject> data_centres;
  std::vector<ContractObject> contracts;
  std::vector<LimitsObject> limits;
  std::vector<ServiceObject> services;
  std::vector<EndpointGroupObject> groups;
  std::vector<PlacementObject> placements;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_OBJECTS_H_
