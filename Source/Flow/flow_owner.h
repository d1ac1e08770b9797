#ifndef HEMLOCKWICK_FLOW_FLOW_OWNER_H_
#define HEMLOCKWICK_FLOW_FLOW_OWNER_H_

#include "Flow/token_types.h"
#include "Flow/tracked_flows.h"

namespace hemlockwick {

// The owner of a flow is the endpoint at which it is open. A caller opens a
// flow with the first reply to its opening and from then on acknowledges the
// sequence numbers of that endpoint only. Its packets carry the token of the
// endpoint that it has heard from last, which may be another one that has
// accepted a copy of the opening. So once the owner is known, packets whose
// numbers go on where the flow's were belong to it, whatever their token.

// Whether the numbers of both directions go on where the flow's were. Those of
// a new flow from the same port do not.
[[nodiscard]] auto Continues(const TrackedFlow& flow, const TokenPacket& packet)
    -> bool;

// Whether the packet follows the opening that was forwarded here: it carries
// the token of the reply that has opened the flow.
[[nodiscard]] auto FollowsOpening(const TrackedFlow& flow,
                                  const TokenPacket& packet) -> bool;

// Whether the packet is of a flow that is open at another endpoint than the one
// that it names.
[[nodiscard]] auto NamesOtherThanOwner(const TrackedFlow& flow,
                                       const TokenPacket& packet) -> bool;

// Whether copies of the opening went to other endpoints than the flow's.
[[nodiscard]] auto WasOpenedElsewhere(const TrackedFlow& flow) -> bool;

// Whether the opening went to several endpoints and none has answered a request
// of the flow. The packet that has shown its owner may have been preceded by
// one that was lost, so its unanswered data is no evidence against an endpoint.
[[nodiscard]] auto IsOwnerUncertain(const TrackedFlow& flow) -> bool;

// Whether the packet is a late copy of the opening of a flow that is open.
[[nodiscard]] auto IsLateCopy(const TrackedFlow& flow,
                              const TokenPacket& packet) -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_OWNER_H_
