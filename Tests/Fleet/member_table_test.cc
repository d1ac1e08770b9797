#include "Fleet/member_table.h"

#include <criterion/criterion.h>

#include "Timeline/event_log.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kNow = FromUnixMillis(1'700'000'000'000);

auto MakeMember(const std::string& name, const std::string& data_centre)
    -> Member {
  auto member = Member();
  member.name = name;
  member.id = IdFromName<InstanceId>(name);
  member.data_centre = IdFromName<DataCentreId>(data_centre);
  return member;
}

auto List(const std::vector<std::string>& names) {
  auto list = std::vector<ListedInstance>();
  for (const auto& name : names) {
    list.push_back(ListedInstance{name, "dc", {}, {}, false});
  }
  return list;
}

struct Fixture {
  EventLog events = EventLog("self");
  MemberTable table = MemberTable(MakeMember("self", "dc"), events, kNow);

  auto StateOf(const std::string& name) -> MemberState {
    return table.Find(IdFromName<InstanceId>(name))->member.state;
  }
  auto ApplyUpdate(const std::string& name, MemberState state,
                   std::uint64_t incarnation) -> bool {
    auto update = MemberUpdate{MakeMember(name, "dc"), false};
    update.member.state = state;
    update.member.incarnation = incarnation;
    return table.Apply(update, kNow);
  }
  auto IsPublished(const std::string& name) -> bool {
    return FindMember(table.View(kNow), IdFromName<InstanceId>(name)) !=
           nullptr;
  }
};

Test(member_table, higher_incarnation_wins_then_worse_state) {
  auto fixture = Fixture();
  fixture.table.ApplyList(List({"a"}), kNow);
  fixture.ApplyUpdate("a", MemberState::kAlive, 5);
  cr_assert(!fixture.ApplyUpdate("a", MemberState::kDead, 4));
  cr_assert(fixture.ApplyUpdate("a", MemberState::kSuspect, 5));
  cr_assert(!fixture.ApplyUpdate("a", MemberState::kAlive, 5));
  cr_assert(fixture.ApplyUpdate("a", MemberState::kAlive, 6));
  cr_assert(fixture.ApplyUpdate("a", MemberState::kDead, 6));
  cr_assert(fixture.StateOf("a") == MemberState::kDead);
}

Test(member_table, instance_list_adds_members_but_no_deaths_or_returns) {
  auto fixture = Fixture();
  fixture.table.ApplyList(List({"a", "b"}), kNow);
  fixture.ApplyUpdate("a", MemberState::kDead, 1);
  fixture.table.ApplyList(List({"a"}), kNow);
  cr_assert(fixture.StateOf("a") == MemberState::kDead);
  cr_assert(fixture.StateOf("b") == MemberState::kAlive);
}

Test(member_table, unlisted_member_is_not_published) {
  auto fixture = Fixture();
  fixture.table.ApplyList(List({"a"}), kNow);
  fixture.ApplyUpdate("born", MemberState::kAlive, 1);
  cr_assert(!fixture.IsPublished("born"));
  fixture.table.ApplyList(List({"a", "born"}), kNow);
  cr_assert(fixture.IsPublished("born"));
}

Test(member_table, listed_leave_is_applied_once) {
  auto fixture = Fixture();
  auto list = List({"a"});
  list[0].leaving = true;
  fixture.table.ApplyList(list, kNow);
  cr_assert(fixture.StateOf("a") == MemberState::kLeaving);
  fixture.ApplyUpdate("a", MemberState::kAlive, 7);
  fixture.table.ApplyList(list, kNow);
  cr_assert(fixture.StateOf("a") == MemberState::kAlive);
}

Test(member_table, refutes_false_claims_about_itself) {
  auto fixture = Fixture();
  fixture.ApplyUpdate("self", MemberState::kDead, 3);
  cr_assert(fixture.table.self().member.incarnation == 4);
  cr_assert(fixture.table.self().member.state == MemberState::kAlive);
}

Test(member_table, ignores_death_of_a_recently_contacted_member) {
  auto fixture = Fixture();
  fixture.table.ApplyList(List({"a"}), kNow);
  fixture.table.RecordContact(IdFromName<InstanceId>("a"), kNow);
  cr_assert(!fixture.ApplyUpdate("a", MemberState::kDead, 1));
}

Test(member_table, contacts_are_limited_and_independent_of_order) {
  auto first = Fixture();
  auto second = Fixture();
  constexpr auto kMembers = 40;
  const auto apply = [](Fixture& fixture, int number) {
    const auto name = "far-" + std::to_string(number);
    fixture.table.Apply(MemberUpdate{MakeMember(name, "far"), true}, kNow);
  };
  for (auto number = 0; number < kMembers; ++number) {
    apply(first, number);
    apply(second, kMembers - 1 - number);
  }
  cr_assert(first.table.peers().size() == kContactsPerDataCentre);
  cr_assert(first.table.peers() == second.table.peers());
}

Test(member_table, data_centre_is_unreachable_once_all_members_are_suspected) {
  auto fixture = Fixture();
  const auto far = IdFromName<DataCentreId>("far");
  for (const auto* name : {"x", "y"}) {
    fixture.table.Apply(MemberUpdate{MakeMember(name, "far"), true}, kNow);
  }
  fixture.table.SetState(IdFromName<InstanceId>("x"), MemberState::kSuspect,
                         kNow);
  cr_assert(!fixture.table.IsUnreachable(far));
  fixture.table.SetState(IdFromName<InstanceId>("y"), MemberState::kSuspect,
                         kNow);
  cr_assert(fixture.table.IsUnreachable(far));
}

}  // namespace
}  // namespace hemlockwick
