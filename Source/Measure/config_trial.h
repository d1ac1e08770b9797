#ifndef HEMLOCKWICK_MEASURE_CONFIG_TRIAL_H_
#define HEMLOCKWICK_MEASURE_CONFIG_TRIAL_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Command/object_files.h"
#include "Core/error.h"

namespace hemlockwick {

// Size of a generated set of objects.
struct ConfigTrialSize {
  std::uint32_t services = 0;
  std::uint32_t endpoints = 0;
};

// What one set of objects cost, from its text to the configuration in force.
struct ConfigTrialResult {
  double check_seconds = 0;     // Reading, checking and building.
  double encode_seconds = 0;    // Writing the published values.
  double assemble_seconds = 0;  // Decoding and assembling at an instance.
  double update_seconds = 0;    // Decoding one shard and assembling again.
  double text_bytes = 0;
  double published_bytes = 0;  // All values.
  double largest_value = 0;    // Bytes.
  double change_bytes = 0;     // Values that one changed endpoint replaces.
  double memory_bytes = 0;     // Of the assembled configuration.
};

// Returns the files of a set: one for each service, with its contract,
// placement and endpoint group, spread over 22 data centres in 6 regions.
[[nodiscard]] auto GenerateObjects(const ConfigTrialSize& size,
                                   std::uint64_t seed)
    -> std::vector<ObjectFile>;

// Runs a generated set through the check, the codec and the assembly.
[[nodiscard]] auto RunConfigTrial(const ConfigTrialSize& size,
                                  std::uint64_t seed)
    -> Result<ConfigTrialResult>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CONFIG_TRIAL_H_
