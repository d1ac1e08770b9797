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

// A reference to another object by name, with the source location of the
// reference.
struct Reference {
  std::string name;
  SourceLocation place;
};

// The common part of all objects.
struct NamedObject {
  std::string name;
  SourceLocation place;
};

struct DataCentreObject : NamedObject {
  std::string region;
  bool evacuated = false;  // Its endpoints get no new work.
};

// Absent fields are inherited from the contract that `based_on` names.
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

// A service: its address, contract, limits and flow settings.
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

// A group of endpoints: its own and those of the groups that it includes.
struct EndpointGroupObject : NamedObject {
  std::vector<Reference> includes;
  std::vector<EndpointObject> endpoints;
};

// Assigns to a service the endpoints of a group in the given data centres.
struct PlacementObject : NamedObject {
  Reference service;
  Reference group;
  std::vector<Reference> data_centres;
};

// All objects of the files that are checked together, in the order read.
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
