#ifndef HEMLOCKWICK_RUNTIME_METRICS_H_
#define HEMLOCKWICK_RUNTIME_METRICS_H_

#include <string>

#include "Flow/flow_router.h"
#include "Request/request_plane.h"
#include "Runtime/control_loop.h"
#include "Runtime/peer_sender.h"
#include "Runtime/traffic_threads.h"

namespace hemlockwick {

// Statistics of an instance at one point in time.
struct MetricsInput {
  PacketTotals packets;
  FlowStats flows;
  RequestStats requests;
  PeerSenderStats peers;
  ControlView control;
  std::size_t events_dropped = 0;
};

// Returns the metrics in the Prometheus text format.
[[nodiscard]] auto FormatMetrics(const MetricsInput& input) -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_METRICS_H_
