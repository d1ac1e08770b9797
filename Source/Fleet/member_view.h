#ifndef HEMLOCKWICK_FLEET_MEMBER_VIEW_H_
#define HEMLOCKWICK_FLEET_MEMBER_VIEW_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

enum class MemberState {
  kAlive,
  kSuspect,  // Missed probes; still treated as a member.
  kLeaving,  // Announced a planned stop.
  kDead,
};

// The known state of one instance.
struct Member {
  InstanceId id;
  std::string name;
  DataCentreId data_centre;
  SocketAddress http_address;    // JSON-RPC, metrics and requests.
  SocketAddress packet_address;  // GUE over UDP.
  MemberState state = MemberState::kAlive;
  // Raised by the member itself to refute a claim that it is suspected, leaving
  // or dead. The claim with the higher incarnation wins; at equal incarnations
  // the later state in MemberState wins.
  std::uint64_t incarnation = 0;
  // When the member's process started, by its own clock.
  TimePoint started;
};

// An immutable view of the fleet, published by the control thread.
struct MemberView {
  InstanceId self;
  DataCentreId data_centre;
  // Sorted by id; contains self.
  std::vector<Member> members;
  // When this instance last had proof that its view is current: the send time
  // of the latest message from a peer, or the present time while it knows no
  // live peer.
  TimePoint refreshed;
  // Data centres in which all members are suspected or dead, at least one of
  // them suspected.
  std::vector<DataCentreId> unreachable;
};

// Returns the member with the given id; null when there is none.
[[nodiscard]] auto FindMember(const MemberView& view, InstanceId id)
    -> const Member*;

// Whether a member in this state may be given work of any kind.
[[nodiscard]] constexpr auto IsServing(MemberState state) -> bool {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_MEMBER_VIEW_H_
