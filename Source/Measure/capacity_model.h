#ifndef HEMLOCKWICK_MEASURE_CAPACITY_MODEL_H_
#define HEMLOCKWICK_MEASURE_CAPACITY_MODEL_H_

#include <string>
#include <vector>

#include "Core/error.h"
#include "Measure/fleet_target.h"
#include "Measure/slope_table.h"

namespace hemlockwick {

// What a role of an instance uses up.
enum class Resource {
  kMemory,         // Bytes held.
  kCore,           // Share of one core.
  kBytesSent,      // Control bytes sent a second.
  kPlatformReads,  // Reads a second of the whole fleet.
};

// The cost of one role at the target size.
struct CapacityLine {
  std::string role;
  Resource resource = Resource::kMemory;
  double cost = 0;
  std::string slope;      // Names of the slopes it was computed from.
  std::string mechanism;  // What keeps the cost at this level.
};

// Works out every line from measured slopes. Fails with kNotFound when a slope
// is missing.
[[nodiscard]] auto BuildCapacity(const SlopeTable& slopes,
                                 const FleetTarget& target)
    -> Result<std::vector<CapacityLine>>;

// Sum of the lines of one resource.
[[nodiscard]] auto TotalCost(const std::vector<CapacityLine>& lines,
                             Resource resource) -> double;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CAPACITY_MODEL_H_
