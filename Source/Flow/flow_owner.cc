#include "Flow/flow_owner.h"

#include <algorithm>

#include "Flow/sequence_numbers.h"

namespace hemlockwick {

auto Continues(const TrackedFlow& flow, const TokenPacket& packet) -> bool {
  return IsNear(packet.seq, flow.next_seq) && IsNear(packet.ack, flow.last_ack);
}

auto FollowsOpening(const TrackedFlow& flow, const TokenPacket& packet)
    -> bool {
  const auto is_opening = flow.waiting && !flow.established;
  return is_opening && packet.seq == flow.next_seq;
}

auto NamesOtherThanOwner(const TrackedFlow& flow, const TokenPacket& packet)
    -> bool {
  const auto token = TokenOf(packet);
  return flow.owner != kNoToken && token != kNoToken && token != flow.owner &&
         Continues(flow, packet);
}

auto WasOpenedElsewhere(const TrackedFlow& flow) -> bool {
  return std::ranges::any_of(flow.opening_tokens, [&flow](FlowToken token) {
    return token != kNoToken && token != flow.token;
  });
}

auto IsOwnerUncertain(const TrackedFlow& flow) -> bool {
  return flow.established && !flow.answered && WasOpenedElsewhere(flow);
}

auto IsLateCopy(const TrackedFlow& flow, const TokenPacket& packet) -> bool {
  return packet.ack > 0 && flow.established &&
         IsNear(packet.seq, flow.next_seq);
}

}  // namespace hemlockwick
