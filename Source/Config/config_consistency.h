#ifndef HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_
#define HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_

#include "Config/fleet_config.h"
#include "Core/finding.h"

namespace hemlockwick {

// Checks the invariants of any configuration that an instance puts in force:
// unique ids and addresses, known data centres, endpoints sorted by id,
// positive flow timeouts and a nonzero number of buckets. Findings name the
// object but have no source location.
[[nodiscard]] auto CheckConsistency(const FleetConfig& config) -> Findings;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_
