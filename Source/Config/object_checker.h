#ifndef HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_
#define HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "Config/name_index.h"
#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// A service with all that its references lead to.
struct PlacedService {
  const ServiceObject* service = nullptr;
  Contract contract;
  std::vector<const EndpointObject*> endpoints;
};

// Checks a set of objects against one another: references, cycles, addresses,
// placements and names whose hashes collide.
class ObjectChecker {
 public:
  // `objects` must outlive the checker.
  explicit ObjectChecker(const ObjectSet& objects);

  // Adds what is wrong with the set to the findings.
  void Check();

  [[nodiscard]] auto findings() const -> const Findings& { return findings_; }

  // The services with their endpoints, in the order of the set.
  [[nodiscard]] auto placed() const -> const std::vector<PlacedService>& {
    return placed_;
  }

 private:
  void CheckContracts();
  void CheckGroups();
  void CheckServices();
  void CheckPlacements();
  void CheckDuplicatePlacements();
  void CheckAddresses();
  void CheckNameHashes();

  void AddPlacement(const PlacementObject& placement);
  auto ResolveContract(const ServiceObject& service) -> Contract;
  // The endpoints of a group and of those that it includes.
  auto Expand(const EndpointGroupObject& group) const
      -> std::vector<const EndpointObject*>;
  void Report(const NamedObject& object, const std::string& kind,
              std::string problem, std::string remedy);

  const ObjectSet& objects_;
  Findings findings_;
  NameIndex<DataCentreObject> data_centres_;
  NameIndex<ContractObject> contracts_;
  NameIndex<LimitsObject> limits_;
  NameIndex<ServiceObject> services_;
  NameIndex<EndpointGroupObject> groups_;
  NameIndex<PlacementObject> placements_;
  bool contracts_resolvable_ = false;  // No cycle among them.
  std::vector<PlacedService> placed_;
  std::unordered_map<const ServiceObject*, std::size_t> placed_position_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_
