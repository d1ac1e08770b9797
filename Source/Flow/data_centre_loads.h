#ifndef HEMLOCKWICK_FLOW_DATA_CENTRE_LOADS_H_
#define HEMLOCKWICK_FLOW_DATA_CENTRE_LOADS_H_

#include <cstdint>
#include <span>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// An endpoint that may take a new flow.
struct EndpointCandidate {
  const DirectoryEndpoint* endpoint = nullptr;
  const EndpointStats* stats = nullptr;  // Null if no flow has used it.
  double weight = 1;                     // Learned capacity relative to others.
};

// Load that the flows of this instance put on an endpoint, in waiting requests
// for each slot.
[[nodiscard]] auto OwnLoadOf(const EndpointCandidate& candidate) -> double;

// Compares the data centres in which a service has endpoints by what this
// instance sees of them.
class DataCentreLoads {
 public:
  DataCentreLoads(std::span<const EndpointCandidate> candidates, TimePoint now);

  // Mean load that this instance puts on the data centre's endpoints, except
  // suspect ones, relative to their weights.
  [[nodiscard]] auto OwnLoadIn(DataCentreId data_centre) const -> double;

  // How much slower than those of `there` the replies of `here` are, in usual
  // reply times. Replies of data centres without recent ones count as usual.
  [[nodiscard]] auto Delay(DataCentreId here, DataCentreId there) const
      -> double;

 private:
  struct Load {
    DataCentreId data_centre;
    double own = 0;       // Sum over the endpoints.
    double weights = 0;   // The same.
    double slowness = 0;  // Sum over `replies`.
    std::uint32_t replies = 0;
  };

  auto FindOrAdd(DataCentreId data_centre) -> Load&;
  [[nodiscard]] auto Find(DataCentreId data_centre) const -> Load;
  [[nodiscard]] auto SlownessOf(DataCentreId data_centre) const -> double;

  std::vector<Load> loads_;  // Few; looked up one by one.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_DATA_CENTRE_LOADS_H_
