#ifndef HEMLOCKWICK_FLOW_ENDPOINT_SPEED_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_SPEED_H_

#include <cstdint>

#include "Flow/flow_token.h"

namespace hemlockwick {

// Replies of an endpoint that were observed since the last report.
struct ReplySummary {
  FlowToken token;
  std::uint32_t replies = 0;
  // Mean ratio of their times to the usual time of their service address.
  double ratio = 1.0;

  friend auto operator==(const ReplySummary&, const ReplySummary&)
      -> bool = default;
};

// Capacity of an endpoint relative to the others of its service, as learned
// from the replies that several instances have observed. 1: as usual.
struct SharedSpeed {
  FlowToken token;
  double weight = 1.0;

  friend auto operator==(const SharedSpeed&, const SharedSpeed&)
      -> bool = default;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_SPEED_H_
