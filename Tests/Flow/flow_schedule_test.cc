#include "Measure/flow_schedule.h"

#include <criterion/criterion.h>

#include <string>

#include "Measure/flow_run.h"

namespace hemlockwick {
namespace {

constexpr std::uint64_t kSeeds = 2;

auto Load(const std::string& name) -> FlowSchedule {
  const auto path = std::string(HEMLOCKWICK_SCHEDULES) + "/" + name + ".yaml";
  return TryOr([&path] { return ReadFlowSchedule(path); },
               [](const Error& error) {
                 cr_assert_fail("%s", error.message.c_str());
                 return FlowSchedule();
               });
}

void ExpectNoBrokenFlow(const std::string& name) {
  const auto schedule = Load(name);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto result = FlowRun<RouterNode>(schedule, seed).Run();
    cr_assert(result.opened > 1000);
    cr_assert_eq(result.broken, 0U, "seed %lu: %zu broken", seed,
                 result.broken);
    cr_assert_eq(result.foreign, 0U);
    cr_assert_eq(result.late_openings, 0U);
  }
}

Test(flow_schedule, drain_and_death) { ExpectNoBrokenFlow("drain_and_kill"); }

Test(flow_schedule, rolling_restarts) { ExpectNoBrokenFlow("rolling_twice"); }

Test(flow_schedule, death_and_restarts) {
  ExpectNoBrokenFlow("kill_and_rolling");
}

Test(flow_schedule, change_during_a_pause) { ExpectNoBrokenFlow("pause"); }

Test(flow_schedule, partition_heals) { ExpectNoBrokenFlow("partition"); }

Test(flow_schedule, pure_hash_breaks_flows) {
  using PureHash = RivalNode<RivalKind::kPureHash>;
  const auto result = FlowRun<PureHash>(Load("drain_and_kill"), 1).Run();
  cr_assert(result.broken > 0);
}

Test(flow_schedule, same_seed_gives_the_same_run) {
  const auto schedule = Load("drain_and_kill");
  const auto first = FlowRun<RouterNode>(schedule, 4).Run();
  const auto second = FlowRun<RouterNode>(schedule, 4).Run();
  cr_assert_eq(first.packets, second.packets);
  cr_assert_eq(first.extra_hops, second.extra_hops);
}

}  // namespace
}  // namespace hemlockwick
