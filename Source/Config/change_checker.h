#ifndef HEMLOCKWICK_CONFIG_CHANGE_CHECKER_H_
#define HEMLOCKWICK_CONFIG_CHANGE_CHECKER_H_

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Config/fleet_config.h"
#include "Config/object_checker.h"
#include "Core/finding.h"

namespace hemlockwick {

// Compares a configuration with the one that it replaces and reports changes
// that would break established flows or deliver their packets to another
// service.
class ChangeChecker {
 public:
  // `previous` must outlive the checker. Findings about removed services refer
  // to `previous_file`.
  ChangeChecker(const FleetConfig& previous, std::string previous_file);

  // Reports unsafe changes from the previous configuration to `next`, published
  // at `published`. `placed` holds the objects that `next` was built from, for
  // the source locations of findings.
  [[nodiscard]] auto Check(const std::vector<PlacedService>& placed,
                           const FleetConfig& next, TimePoint published)
      -> Findings;

 private:
  // The service whose flows may still send packets to an address, and the time
  // at which the last of them has ended.
  struct AddressReservation {
    const Service* service = nullptr;
    TimePoint until;
  };

  void CheckRemoved(const FleetConfig& next, TimePoint published);
  void CheckService(const PlacedService& placed, const Service& next,
                    TimePoint published);
  void CheckFixedFields(const ServiceObject& object, const Service& previous,
                        const Service& next);
  void CheckEndpoints(const PlacedService& placed, const Service& previous,
                      const Service& next);
  void CheckReservation(const SocketAddress& address,
                        const SourceLocation& place, const std::string& object,
                        const Service& user, TimePoint published);
  void ReserveAddresses(TimePoint published);
  void Reserve(const SocketAddress& address, const Service& service,
               TimePoint until);
  void Report(Severity severity, const SourceLocation& place,
              std::string object, std::string problem, std::string remedy);

  const FleetConfig& previous_;
  std::string previous_file_;
  std::unordered_map<SocketAddress, AddressReservation> reservations_;
  Findings findings_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CHANGE_CHECKER_H_
