#ifndef HEMLOCKWICK_EDGE_HEALTH_REPORT_H_
#define HEMLOCKWICK_EDGE_HEALTH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Edge/instance_counter.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// Number of instances that have to report an endpoint to make it suspect, and
// how long a report counts.
inline constexpr std::size_t kReportQuorum = 2;
inline constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

// Limits the memory: endpoints with reports at a time.
inline constexpr std::size_t kMaxReportedEndpoints = 4096;

// Health observations of one instance.
struct HealthReport {
  InstanceId reporter;
  EndpointObservations observations;
};

// Reports sent to a relay by one call.
struct HealthReports {
  std::vector<HealthReport> reports;
  // Whether they come from the root of another tree of relays; such reports are
  // not passed on further.
  bool from_peer = false;
  // The size of the tree, when its root tells it to a seed.
  std::optional<InstanceCount> root{};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HEALTH_REPORT_H_
