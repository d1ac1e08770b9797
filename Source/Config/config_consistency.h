#ifndef HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_
#define HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_

#include "Config/fleet_config.h"
#include "Core/finding.h"

namespace hemlockwick {

// Checks what has to hold for any configuration that an instance puts in
// force: unique ids and addresses, known data centres, sorted endpoints and
// usable bucket counts. Findings name the object but no place in a file.
[[nodiscard]] auto CheckConsistency(const FleetConfig& config) -> Findings;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONFIG_CONSISTENCY_H_
