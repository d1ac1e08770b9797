#ifndef HEMLOCKWICK_CONFIG_CONFIG_CHECK_H_
#define HEMLOCKWICK_CONFIG_CONFIG_CHECK_H_

#include <memory>
#include <string>

#include "Config/fleet_config.h"
#include "Config/object_reader.h"
#include "Core/finding.h"

namespace hemlockwick {

// The configuration that a new one replaces.
struct PreviousConfig {
  std::shared_ptr<const FleetConfig> config;  // Null for the first version.
  std::string file;                           // Path for findings.
};

// Result of CheckObjects.
struct CheckOutcome {
  Findings findings;  // Sorted by source location.
  // The configuration to publish; null when there is an error.
  std::shared_ptr<const FleetConfig> config;
};

// Checks the objects that `reader` has read against one another and against
// the previous configuration, and builds the configuration to publish as
// `version` at `published`.
[[nodiscard]] auto CheckObjects(const ObjectReader& reader,
                                const PreviousConfig& previous, Version version,
                                TimePoint published) -> CheckOutcome;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_CONFIG_CHECK_H_
