#ifndef HEMLOCKWICK_EDGE_HEALTH_REPORT_H_
#define HEMLOCKWICK_EDGE_HEALTH_REPORT_H_

#include <chrono>
#include <cstddef>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// Instances that have to report an endpoint to make it suspect, and for how
// long a report counts.
inline constexpr std::size_t kReportQuorum = 2;
inline constexpr Duration kReportLifetime = std::chrono::milliseconds(1500);

// Bounds the memory: endpoints reported at a time.
inline constexpr std::size_t kMaxReportedEndpoints = 4096;

// What one instance has found of endpoints.
struct HealthReport {
  InstanceId reporter;
  EndpointObservations observations;
};

// Reports on their way to a relay.
struct HealthReports {
  std::vector<HealthReport> reports;
  // They come from the top of another tree and are not passed on further.
  bool from_peer = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HEALTH_REPORT_H_
