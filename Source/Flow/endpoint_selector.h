#ifndef HEMLOCKWICK_FLOW_ENDPOINT_SELECTOR_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_SELECTOR_H_

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/by_service.h"
#include "Flow/cold_start_limiter.h"
#include "Flow/data_centre_loads.h"
#include "Flow/endpoint_capacity.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_stats.h"
#include "Flow/usual_load.h"

namespace hemlockwick {

// A new flow that needs an endpoint.
struct OpeningRequest {
  FlowKey flow;
  const Route& route;
  DataCentreId data_centre;  // Where this instance and its callers are.
  // Endpoint that has not answered an earlier copy of the opening; kNoToken if
  // there is none.
  FlowToken tried_endpoint;
  // Limits the openings at cold endpoints; null: nothing does.
  ColdStartLimiter* cold_starts = nullptr;
  // Learned capacity of the endpoints. Null when openings are to be placed
  // without it.
  const EndpointCapacity* capacity = nullptr;
};

// Selects the service of a flow, in proportion to the weights of the targets.
[[nodiscard]] auto SelectService(const Route& route, FlowKey flow) -> ServiceId;

// Selects the endpoints of new flows. Used by one traffic thread only.
class EndpointSelector {
 public:
  // Selects the endpoint with the least open work for its slots, in this data
  // centre unless it is much busier than another one. Suspect endpoints are
  // used only when no other is left, cold ones only while they are allowed
  // further openings, and those in evacuated data centres never. With learned
  // capacity, open work counts relative to it, and endpoints with little of it
  // are chosen in proportion to it. Null when the service has no other endpoint
  // that accepts new flows, or when was_diverted() holds.
  auto Select(const DirectorySnapshot& directory,
              const EndpointStatsMap& endpoint_stats,
              const OpeningRequest& request, TimePoint now)
      -> const DirectoryEndpoint*;

  // Whether the last selection would have returned another endpoint, were it
  // not for the limit on openings at cold endpoints.
  [[nodiscard]] auto was_diverted() const -> bool { return was_diverted_; }

 private:
  // Estimates the load that other instances put on the endpoints of another
  // data centre. This instance sees what its own flows put on an endpoint, and
  // few of them go to other data centres, so that endpoints there look idle.
  // The estimate is what its flows usually put on the endpoints here, less what
  // replies from there are faster.
  [[nodiscard]] static auto HiddenLoad(const DataCentreLoads& loads,
                                       const UsualLoad& usual,
                                       DataCentreId here, DataCentreId there)
      -> double;

  // Load that this instance puts on an endpoint here.
  ByService<ServiceId, UsualLoad> usual_loads_;
  bool was_diverted_ = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_SELECTOR_H_
