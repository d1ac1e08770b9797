#ifndef HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_
#define HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "Config/name_index.h"
#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// A service with its resolved contract and the endpoints that placements assign
// to it.
struct PlacedService {
  const ServiceObject* service = nullptr;
  Contract contract;
  std::vector<const EndpointObject*> endpoints;
};

// Checks the objects of a set against one another: references, cycles,
// addresses, placements and hash collisions of names.
class ObjectChecker {
 public:
  // `objects` must outlive the checker.
  explicit ObjectChecker(const ObjectSet& objects);

  // Runs all checks. Must be called once, before findings() and placed().
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
  // Returns the endpoints of a group and of all groups that it includes,
  // directly or indirectly.
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
  bool contracts_resolvable_ = false;  // No `based_on` cycle.
  std::vector<PlacedService> placed_;
  std::unordered_map<const ServiceObject*, std::size_t> placed_position_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_OBJECT_CHECKER_H_
