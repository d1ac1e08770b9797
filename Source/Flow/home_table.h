#ifndef HEMLOCKWICK_FLOW_HOME_TABLE_H_
#define HEMLOCKWICK_FLOW_HOME_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Fleet/member_view.h"

namespace hemlockwick {

// An instance that can hold flow records.
struct HomeMember {
  InstanceId id;
  DataCentreId data_centre;
  SocketAddress packet_address;
  SocketAddress http_address;
  TimePoint started;  // A restarted instance holds no records.
  bool suspect = false;

  friend auto operator==(const HomeMember&, const HomeMember&)
      -> bool = default;
};

// The homes of a flow, which are the members that hold its record. `second` is
// in another data centre than `first` if there is one, `third` in yet another.
// Null when there are too few members.
struct Homes {
  const HomeMember* first = nullptr;
  const HomeMember* second = nullptr;
  const HomeMember* third = nullptr;
};

// Assigns homes to flows by rendezvous hashing over the serving members of the
// own region. Immutable.
class HomeTable {
 public:
  explicit HomeTable(std::vector<HomeMember> members);

  [[nodiscard]] auto HomesOf(FlowKey flow) const -> Homes;

  [[nodiscard]] auto members() const -> const std::vector<HomeMember>& {
    return members_;
  }

  // The member with the id and start time of `wanted`; null if it is not a
  // member or has restarted.
  [[nodiscard]] auto Find(const HomeMember& wanted) const -> const HomeMember*;

 private:
  using MemberIndex = std::uint16_t;
  struct Slot {
    MemberIndex first;
    MemberIndex second;
    MemberIndex third;
  };

  auto MakeSlot(std::uint64_t number) const -> Slot;
  auto At(MemberIndex index) const -> const HomeMember*;

  std::vector<HomeMember> members_;
  std::vector<Slot> slots_;
};

// The members of `view` that run and are reachable, in the region of the view's
// own data centre, including those about to stop.
[[nodiscard]] auto RunningMembersOf(const MemberView& view,
                                    const FleetConfig& config)
    -> std::vector<HomeMember>;

// The running members that can be homes, without this instance when
// `self_leaves`.
[[nodiscard]] auto HomeMembersOf(const MemberView& view,
                                 const FleetConfig& config, bool self_leaves)
    -> std::vector<HomeMember>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_HOME_TABLE_H_
