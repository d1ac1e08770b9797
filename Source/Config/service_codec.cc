#include "Config/service_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "Config/contract_codec.h"
#include "Config/endpoint_set.h"

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

// Positions in the array that describes an endpoint.
enum EndpointField : std::size_t {
  kName,
  kDataCentre,
  kAddress,
  kWeight,
  kSlots,
  kMaxConnections,
  kState,
  kStateSince,
  kEndpointFieldCount,
};

// Positions in the array that describes an endpoint which only earlier sets
// contain.
enum RemovedField : std::size_t {
  kRemovedId,
  kRemovedDataCentre,
  kRemovedAddress
};

auto AddressFromJson(const Json& json) -> SocketAddress {
  const auto text = json.get<std::string>();
  return TryOr(
      [&text]() -> Result<SocketAddress> { return ParseSocketAddress(text); },
      [](const Error& error) -> SocketAddress {
        throw std::invalid_argument(error.message);
      });
}

auto EndpointToJson(const Endpoint& endpoint) -> Json {
  return Json::array(
      {endpoint.name, endpoint.data_centre.value(), ToString(endpoint.address),
       endpoint.weight, endpoint.slots, endpoint.max_connections,
       static_cast<int>(endpoint.state), ToUnixMillis(endpoint.state_since)});
}

auto StateFromJson(const Json& json) -> EndpointState {
  const auto number = json.get<int>();
  const auto state = static_cast<EndpointState>(number);
  switch (state) {
    case EndpointState::kActive:
    case EndpointState::kCold:
    case EndpointState::kDraining:
      return state;
  }
  throw std::invalid_argument("unknown endpoint state " +
                              std::to_string(number));
}

auto EndpointFromJson(const Json& json) -> Endpoint {
  if (!json.is_array() || json.size() != kEndpointFieldCount) {
    throw std::invalid_argument("malformed endpoint");
  }
  auto endpoint = Endpoint();
  endpoint.name = json[kName].get<std::string>();
  endpoint.id = IdFromName<EndpointId>(endpoint.name);
  endpoint.data_centre = DataCentreId(json[kDataCentre].get<std::uint64_t>());
  endpoint.address = AddressFromJson(json[kAddress]);
  endpoint.weight = json[kWeight].get<std::uint32_t>();
  endpoint.slots = json[kSlots].get<std::uint32_t>();
  endpoint.max_connections = json[kMaxConnections].get<std::uint32_t>();
  endpoint.state = StateFromJson(json[kState]);
  endpoint.state_since = FromUnixMillis(json[kStateSince].get<std::int64_t>());
  return endpoint;
}

// The endpoints that the sets of a service's history refer to by position: the
// current ones first, then those that only earlier sets contain.
class EndpointTable {
 public:
  explicit EndpointTable(const std::vector<Endpoint>& current) {
    for (const auto& endpoint : current) {
      entries_.push_back(WeightedEndpoint{endpoint.id, endpoint.address,
                                          endpoint.data_centre, 0});
    }
    current_count_ = entries_.size();
  }

  void Add(const WeightedEndpoint& endpoint) { entries_.push_back(endpoint); }

  [[nodiscard]] auto At(std::size_t position) const -> const WeightedEndpoint& {
    return entries_.at(position);
  }

  // Returns the endpoint's position; appends the endpoint if it is new.
  auto PositionOf(const WeightedEndpoint& wanted) -> std::size_t {
    const auto found = std::find_if(
        entries_.begin(), entries_.end(),
        [&wanted](const WeightedEndpoint& entry) {
          return entry.id == wanted.id && entry.address == wanted.address &&
                 entry.data_centre == wanted.data_centre;
        });
    const auto position = static_cast<std::size_t>(found - entries_.begin());
    if (found == entries_.end()) {
      entries_.push_back(wanted);
    }
    return position;
  }

  [[nodiscard]] auto RemovedToJson() const -> Json {
    auto removed = Json::array();
    for (auto at = current_count_; at < entries_.size(); ++at) {
      const auto& entry = entries_[at];
      removed.push_back(
          Json::array({entry.id.value(), entry.data_centre.value(),
                       ToString(entry.address)}));
    }
    return removed;
  }

 private:
  std::vector<WeightedEndpoint> entries_;
  std::size_t current_count_ = 0;
};

// Encodes the members of a set: an empty array if they equal the current set,
// else the position of an equal set earlier in the history, else an array of
// each member's position and weight.
auto MembersToJson(const Service& service, std::size_t position,
                   EndpointTable& table) -> Json {
  const auto& set = service.endpoint_history[position];
  if (SameEndpoints(set.endpoints, NewFlowEndpoints(service))) {
    return Json::array();
  }
  for (std::size_t at = 0; at < position; ++at) {
    if (SameEndpoints(set.endpoints, service.endpoint_history[at].endpoints)) {
      return at;
    }
  }
  auto members = Json::array();
  for (const auto& endpoint : set.endpoints) {
    members.push_back(table.PositionOf(endpoint));
    members.push_back(endpoint.weight);
  }
  return Json::array({members});
}

void AddEndpointHistory(const Service& service, Json& json) {
  auto table = EndpointTable(service.endpoints);
  auto history = Json::array();
  for (std::size_t at = 0; at < service.endpoint_history.size(); ++at) {
    const auto& set = service.endpoint_history[at];
    history.push_back(
        Json::array({set.version.value(), ToUnixMillis(set.published),
                     MembersToJson(service, at, table)}));
  }
  json["past"] = std::move(history);
  json["gone"] = table.RemovedToJson();
}

auto MembersFromJson(const Json& json, const Service& service,
                     const EndpointTable& table)
    -> std::vector<WeightedEndpoint> {
  if (json.is_number()) {
    return service.endpoint_history.at(json.get<std::size_t>()).endpoints;
  }
  if (!json.is_array()) {
    throw std::invalid_argument("malformed earlier endpoint set");
  }
  if (json.empty()) {
    return NewFlowEndpoints(service);
  }
  const auto& members = json[0];
  if (!members.is_array() || members.size() % 2 != 0) {
    throw std::invalid_argument("malformed earlier endpoint set");
  }
  auto endpoints = std::vector<WeightedEndpoint>();
  for (std::size_t at = 0; at < members.size(); at += 2) {
    auto endpoint = table.At(members[at].get<std::size_t>());
    endpoint.weight = members[at + 1].get<std::uint32_t>();
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

auto EndpointSetFromJson(const Json& json, const Service& service,
                         const EndpointTable& table) -> EndpointSet {
  auto set = EndpointSet();
  set.version = Version(json.at(0).get<std::uint64_t>());
  set.published = FromUnixMillis(json.at(1).get<std::int64_t>());
  set.endpoints = MembersFromJson(json.at(2), service, table);
  return set;
}

void ReadEndpointHistory(const Json& json, Service& service) {
  auto table = EndpointTable(service.endpoints);
  for (const auto& removed : json.at("gone")) {
    table.Add(WeightedEndpoint{
        EndpointId(removed.at(kRemovedId).get<std::uint64_t>()),
        AddressFromJson(removed.at(kRemovedAddress)),
        DataCentreId(removed.at(kRemovedDataCentre).get<std::uint64_t>()), 0});
  }
  for (const auto& set : json.at("past")) {
    service.endpoint_history.push_back(
        EndpointSetFromJson(set, service, table));
  }
}

}  // namespace

auto ServiceToJson(const Service& service) -> Json {
  auto json = Json{{"name", service.name},
                   {"address", ToString(service.address)},
                   {"buckets", service.bucket_count},
                   {"idle", service.idle_timeout.count()},
                   {"lifetime", service.flow_lifetime.count()}};
  if (service.kind == ServiceKind::kRequest) {
    json["contract"] = ContractToJson(service.contract);
  }
  auto endpoints = Json::array();
  for (const auto& endpoint : service.endpoints) {
    endpoints.push_back(EndpointToJson(endpoint));
  }
  json["endpoints"] = std::move(endpoints);
  if (!service.endpoint_history.empty()) {
    AddEndpointHistory(service, json);
  }
  return json;
}

auto ServiceFromJson(const Json& json) -> std::shared_ptr<const Service> {
  auto service = std::make_shared<Service>();
  service->name = json.at("name").get<std::string>();
  service->id = IdFromName<ServiceId>(service->name);
  service->address = AddressFromJson(json.at("address"));
  service->bucket_count = json.at("buckets").get<std::uint32_t>();
  service->idle_timeout = Duration(json.at("idle").get<Duration::rep>());
  service->flow_lifetime = Duration(json.at("lifetime").get<Duration::rep>());
  if (json.contains("contract")) {
    service->kind = ServiceKind::kRequest;
    service->contract = ContractFromJson(json.at("contract"));
  }
  for (const auto& endpoint : json.at("endpoints")) {
    service->endpoints.push_back(EndpointFromJson(endpoint));
  }
  if (json.contains("past")) {
    ReadEndpointHistory(json, *service);
  }
  return service;
}

}  // namespace hemlockwick
