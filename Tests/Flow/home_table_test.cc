#include "Flow/home_table.h"

#include <criterion/criterion.h>

#include <string>

namespace hemlockwick {
namespace {

auto MakeMembers(std::size_t count) -> std::vector<HomeMember> {
  auto members = std::vector<HomeMember>(count);
  for (std::size_t i = 0; i < count; ++i) {
    members[i].id = IdFromName<InstanceId>("i" + std::to_string(i));
    members[i].data_centre = DataCentreId(1 + i % 3);
  }
  return members;
}

auto IsHome(const Homes& homes, InstanceId id) -> bool {
  return homes.first->id == id || homes.second->id == id;
}

Test(home_table, homes_are_in_different_data_centres) {
  const auto table = HomeTable(MakeMembers(7));
  for (std::uint64_t flow = 0; flow < 5000; ++flow) {
    const auto homes = table.HomesOf(FlowKey(flow));
    cr_assert(homes.first->data_centre != homes.second->data_centre);
    cr_assert(homes.third->data_centre != homes.first->data_centre);
    cr_assert(homes.third->data_centre != homes.second->data_centre);
  }
}

Test(home_table, one_home_remains_when_the_other_leaves) {
  const auto members = MakeMembers(7);
  const auto table = HomeTable(members);
  for (const auto& removed_member : members) {
    auto remaining = members;
    std::erase(remaining, removed_member);
    const auto after = HomeTable(remaining);
    for (std::uint64_t flow = 0; flow < 2000; ++flow) {
      const auto old_homes = table.HomesOf(FlowKey(flow));
      const auto homes = after.HomesOf(FlowKey(flow));
      const auto stays = old_homes.first->id == removed_member.id
                             ? old_homes.second->id
                             : old_homes.first->id;
      cr_assert(IsHome(homes, stays));
    }
  }
}

Test(home_table, homes_are_missing_with_few_members) {
  const auto flow = FlowKey(5);
  cr_assert_null(HomeTable({}).HomesOf(flow).first);
  const auto one = HomeTable(MakeMembers(1));
  cr_assert_not_null(one.HomesOf(flow).first);
  cr_assert_null(one.HomesOf(flow).second);
  auto neighbours = MakeMembers(2);
  neighbours[1].data_centre = neighbours[0].data_centre;
  const auto two = HomeTable(neighbours);
  cr_assert_not_null(two.HomesOf(flow).second);
  cr_assert(two.HomesOf(flow).first != two.HomesOf(flow).second);
}

}  // namespace
}  // namespace hemlockwick
