#ifndef HEMLOCKWICK_FLOW_ENDPOINT_SELECTION_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_SELECTION_H_

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// A new flow that needs an endpoint.
struct OpeningRequest {
  FlowKey flow;
  const Route& route;
  DataCentreId data_centre;  // Where this instance and its callers are.
  // Endpoint that has not answered an earlier copy of the opening; kNoToken if
  // there is none.
  FlowToken tried_endpoint;
};

// Selects the endpoint of a new flow: the one with the least open work for its
// slots, in this data centre unless it is much busier than another one. Suspect
// endpoints are used only when no other is left. Null when the service has no
// endpoint that accepts new flows.
[[nodiscard]] auto SelectEndpoint(const DirectorySnapshot& directory,
                                  const EndpointStatsMap& endpoint_stats,
                                  const OpeningRequest& request, TimePoint now)
    -> const DirectoryEndpoint*;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_SELECTION_H_
