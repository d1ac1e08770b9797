#include "Fleet/member_view.h"

#include <algorithm>

namespace hemlockwick {

auto FindMember(const MemberView& view, InstanceId id) -> const Member* {
  const auto found =
      std::lower_bound(view.members.begin(), view.members.end(), id,
                       [](const Member& member, InstanceId wanted) {
                         return member.id < wanted;
                       });
  if (found == view.members.end() || found->id != id) {
    return nullptr;
  }
  return &*found;
}

}  // namespace hemlockwick
