#include "Config/object_checker.h"

#include <algorithm>
#include <string>
#include <unordered_set>
#include <utility>

#include "Config/contract_resolver.h"
#include "Config/name_hash.h"
#include "Config/reference_cycles.h"

namespace hemlockwick {

namespace {

// Returns the graph of the references that `references_of` returns for each
// object. References to objects that do not exist are omitted.
template <typename Object, typename ReferencesOf>
auto BuildGraph(const std::vector<Object>& objects,
                const NameIndex<Object>& index,
                const ReferencesOf& references_of) -> ReferenceGraph {
  auto graph = ReferenceGraph(objects.size());
  for (std::size_t at = 0; at < objects.size(); ++at) {
    for (const auto& reference : references_of(objects[at])) {
      if (const auto* const target = index.Find(reference.name)) {
        graph[at].push_back(static_cast<std::size_t>(target - objects.data()));
      }
    }
  }
  return graph;
}

// Reports each cycle at its first object. Returns whether there are any.
template <typename Object>
auto ReportCycles(const std::vector<Object>& objects, const std::string& kind,
                  const ReferenceGraph& graph, Findings& findings) -> bool {
  const auto cycles = FindCycles(graph);
  for (const auto& cycle : cycles) {
    const auto& first = objects[cycle.front()];
    auto path = std::string();
    for (const auto at : cycle) {
      path += objects[at].name + " -> ";
    }
    findings.push_back(Finding{Severity::kError, first.place,
                               kind + " " + first.name,
                               "refers to itself: " + path + first.name,
                               "remove one of these references"});
  }
  return !cycles.empty();
}

auto BaseOf(const ContractObject& contract) -> std::vector<Reference> {
  return contract.based_on ? std::vector<Reference>{*contract.based_on}
                           : std::vector<Reference>();
}

}  // namespace

ObjectChecker::ObjectChecker(const ObjectSet& objects)
    : objects_(objects),
      data_centres_("data_centre", objects.data_centres, findings_),
      contracts_("contract", objects.contracts, findings_),
      limits_("limits", objects.limits, findings_),
      services_("service", objects.services, findings_),
      groups_("endpoint_group", objects.groups, findings_),
      placements_("placement", objects.placements, findings_) {}

void ObjectChecker::Check() {
  CheckContracts();
  CheckGroups();
  CheckServices();
  CheckPlacements();
  CheckAddresses();
  CheckNameHashes();
}

void ObjectChecker::CheckContracts() {
  for (const auto& contract : objects_.contracts) {
    for (const auto& base : BaseOf(contract)) {
      contracts_.Resolve(base, "contract " + contract.name, findings_);
    }
  }
  const auto graph = BuildGraph(objects_.contracts, contracts_, BaseOf);
  contracts_resolvable_ =
      !ReportCycles(objects_.contracts, "contract", graph, findings_);
  if (!contracts_resolvable_) {
    return;
  }
  for (const auto& contract : objects_.contracts) {
    CheckContract(contract, hemlockwick::ResolveContract(contract, contracts_),
                  findings_);
  }
}

void ObjectChecker::CheckGroups() {
  for (const auto& group : objects_.groups) {
    for (const auto& included : group.includes) {
      groups_.Resolve(included, "endpoint_group " + group.name, findings_);
    }
    const auto names =
        NameIndex<EndpointObject>("endpoint", group.endpoints, findings_);
    for (const auto& endpoint : group.endpoints) {
      data_centres_.Resolve(endpoint.data_centre, "endpoint " + endpoint.name,
                            findings_);
    }
  }
  const auto graph = BuildGraph(
      objects_.groups, groups_,
      [](const EndpointGroupObject& group) { return group.includes; });
  ReportCycles(objects_.groups, "endpoint_group", graph, findings_);
}

void ObjectChecker::CheckServices() {
  placed_.reserve(objects_.services.size());
  for (const auto& service : objects_.services) {
    placed_position_.emplace(&service, placed_.size());
    placed_.push_back(PlacedService{&service, ResolveContract(service), {}});
    const auto defaults = Service();
    if (service.idle_timeout.value_or(defaults.idle_timeout) >
        service.flow_lifetime.value_or(defaults.flow_lifetime)) {
      Report(service, "service", "idle_timeout is above flow_lifetime",
             "raise flow_lifetime or lower idle_timeout");
    }
  }
}

auto ObjectChecker::ResolveContract(const ServiceObject& service) -> Contract {
  const auto object = "service " + service.name;
  if (service.mode == ServiceKind::kFlow &&
      (service.contract || service.limits)) {
    Report(service, "service", "has a contract or limits but forwards flows",
           "set 'mode: request' or remove them");
  }
  auto contract = Contract();
  if (service.contract) {
    const auto* const found =
        contracts_.Resolve(*service.contract, object, findings_);
    if (found != nullptr && contracts_resolvable_) {
      contract = hemlockwick::ResolveContract(*found, contracts_);
    }
  }
  if (service.limits) {
    const auto* const found =
        limits_.Resolve(*service.limits, object, findings_);
    if (found != nullptr) {
      ApplyLimits(*found, contract);
    }
  }
  return contract;
}

void ObjectChecker::CheckPlacements() {
  for (const auto& placement : objects_.placements) {
    AddPlacement(placement);
  }
  auto placed_names = std::unordered_set<std::string_view>();
  for (const auto& placement : objects_.placements) {
    placed_names.insert(placement.service.name);
  }
  for (const auto& service : objects_.services) {
    if (!service.name.empty() && !placed_names.contains(service.name)) {
      Report(service, "service", "has no placement",
             "add a placement that gives it endpoints");
    }
  }
  CheckDuplicatePlacements();
}

void ObjectChecker::AddPlacement(const PlacementObject& placement) {
  const auto object = "placement " + placement.name;
  const auto* const service =
      services_.Resolve(placement.service, object, findings_);
  const auto* const group = groups_.Resolve(placement.group, object, findings_);
  auto chosen = std::unordered_set<std::string_view>();
  for (const auto& reference : placement.data_centres) {
    if (data_centres_.Resolve(reference, object, findings_) != nullptr) {
      chosen.insert(reference.name);
    }
  }
  if (group == nullptr || chosen.empty()) {
    return;
  }
  auto endpoints = Expand(*group);
  std::erase_if(endpoints, [&chosen](const EndpointObject* endpoint) {
    return !chosen.contains(endpoint->data_centre.name);
  });
  if (endpoints.empty()) {
    Report(placement, "placement",
           "has no endpoints: endpoint_group '" + group->name +
               "' has none in its data centres",
           "add endpoints there or name other data centres");
  }
  if (service != nullptr) {
    auto& target = placed_[placed_position_.at(service)].endpoints;
    target.insert(target.end(), endpoints.begin(), endpoints.end());
  }
}

auto ObjectChecker::Expand(const EndpointGroupObject& group) const
    -> std::vector<const EndpointObject*> {
  auto endpoints = std::vector<const EndpointObject*>();
  auto seen = std::unordered_set<const EndpointGroupObject*>{&group};
  auto pending = std::vector<const EndpointGroupObject*>{&group};
  while (!pending.empty()) {
    const auto* const current = pending.back();
    pending.pop_back();
    for (const auto& endpoint : current->endpoints) {
      endpoints.push_back(&endpoint);
    }
    for (const auto& reference : current->includes) {
      const auto* const included = groups_.Find(reference.name);
      if (included != nullptr && seen.insert(included).second) {
        pending.push_back(included);
      }
    }
  }
  return endpoints;
}

void ObjectChecker::CheckDuplicatePlacements() {
  auto owners = std::unordered_map<const EndpointObject*, const NamedObject*>();
  for (const auto& placed : placed_) {
    for (const auto* endpoint : placed.endpoints) {
      const auto [first, added] = owners.emplace(endpoint, placed.service);
      if (!added) {
        Report(*endpoint, "endpoint",
               "is placed twice: for service '" + first->second->name +
                   "' and for service '" + placed.service->name + "'",
               "place it for one service, once");
      }
    }
  }
}

void ObjectChecker::CheckAddresses() {
  struct Use {
    std::string object;
    SourceLocation place;
  };
  auto uses = std::unordered_map<SocketAddress, Use>();
  const auto add = [&](const SocketAddress& address,
                       const SourceLocation& place, const std::string& object) {
    if (address == SocketAddress()) {
      return;
    }
    const auto [first, added] = uses.emplace(address, Use{object, place});
    if (added) {
      return;
    }
    findings_.push_back(
        Finding{Severity::kError, place, object,
                "address " + ToString(address) + " is also used by " +
                    first->second.object + " (" + first->second.place.file +
                    ":" + std::to_string(first->second.place.line) + ")",
                "give each its own address"});
  };
  for (const auto& service : objects_.services) {
    add(service.address, service.address_place, "service " + service.name);
  }
  for (const auto& group : objects_.groups) {
    for (const auto& endpoint : group.endpoints) {
      add(endpoint.address, endpoint.address_place,
          "endpoint " + endpoint.name);
    }
  }
}

void ObjectChecker::CheckNameHashes() {
  auto endpoints = std::vector<const NamedObject*>();
  for (const auto& group : objects_.groups) {
    for (const auto& endpoint : group.endpoints) {
      endpoints.push_back(&endpoint);
    }
  }
  const auto pointers = [](const auto& objects) {
    auto named = std::vector<const NamedObject*>();
    for (const auto& object : objects) {
      named.push_back(&object);
    }
    return named;
  };
  ReportHashCollisions("service", pointers(objects_.services), HashName,
                       findings_);
  ReportHashCollisions("data_centre", pointers(objects_.data_centres), HashName,
                       findings_);
  ReportHashCollisions("endpoint", endpoints, HashName, findings_);
}

void ObjectChecker::Report(const NamedObject& object, const std::string& kind,
                           std::string problem, std::string remedy) {
  findings_.push_back(Finding{Severity::kError, object.place,
                              kind + " " + object.name, std::move(problem),
                              std::move(remedy)});
}

}  // namespace hemlockwick
