#include <criterion/criterion.h>

#include "Config/fleet_config.h"
#include "Measure/config_publisher.h"
#include "Measure/fleet_measure.h"
#include "Measure/fleet_schedule.h"
#include "Measure/fleet_simulation.h"

namespace hemlockwick {
namespace {

using std::chrono::seconds;

// A simulated fleet of seven instances that have the first version in force.
struct Fleet {
  explicit Fleet(double loss = 0, std::uint64_t seed = 1)
      : simulation(TodaysShape(loss), seed), publisher(ConfigSize(), seed) {
    Publish();
    simulation.RunFor(seconds(8));
    cr_assert(simulation.LowestInForce() == publisher.version());
  }

  void Publish() {
    simulation.Publish(publisher.NextVersion(simulation.now()));
  }
  [[nodiscard]] auto HasEvent(std::size_t instance, EventKind kind) const
      -> bool {
    for (const auto& event : simulation.events(instance).Since({})) {
      if (event.kind == kind) {
        return true;
      }
    }
    return false;
  }

  FleetSimulation simulation;
  ConfigPublisher publisher;
};

Test(fleet_faults, changes_take_effect_in_time_despite_message_loss) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto run = ChangeRun{TodaysShape(0.1), {}, 5, seconds(10)};
    const auto outcome = MeasureChanges(run, seed);
    cr_assert(outcome.slowest <= seconds(2));
    cr_assert(outcome.reads <= 50);
    cr_assert(outcome.reverts == 0);
    cr_assert(outcome.false_deaths == 0);
  }
}

Test(fleet_faults, control_traffic_stays_within_its_limit) {
  const auto run = ChangeRun{TodaysShape(0), {}, 5, seconds(30)};
  cr_assert(MeasureChanges(run, 1).highest_bytes <= 1000);
}

Test(fleet_faults, deaths_reach_all_instances_in_time) {
  cr_assert(MeasureDeaths(TodaysShape(0), 5, 1) <= seconds(3));
}

Test(fleet_faults, pauses_and_message_loss_cause_no_false_deaths) {
  cr_assert(MeasureFalseDeaths(TodaysShape(0), seconds(1), seconds(60), 1) ==
            0);
  cr_assert(MeasureFalseDeaths(TodaysShape(0.2), Duration(0), seconds(60), 1) ==
            0);
}

Test(fleet_faults, random_fault_schedules_never_revert_a_version) {
  const auto outcome = MeasureSchedules(12, 1);
  cr_assert(outcome.reverts == 0);
  cr_assert(outcome.unsettled == 0, "seed %lu", outcome.first_failed_seed);
}

// The index and the instance list have a read backoff each. With these two
// seeds the platform loses the instance list, and the backoff of one value used
// to outlast the platform's recovery, so that instances did not settle in time.
Test(fleet_faults, recovered_platform_is_read_promptly) {
  for (const std::uint64_t seed : {496, 697}) {
    cr_assert(MeasureSchedules(1, seed).unsettled == 0, "seed %lu", seed);
  }
}

Test(fleet_faults, platform_rollback_does_not_revert_instances) {
  auto fleet = Fleet();
  fleet.simulation.platform().Save();
  fleet.Publish();
  fleet.simulation.RunFor(seconds(3));
  fleet.simulation.platform().RollBack();
  fleet.simulation.RunFor(seconds(15));
  cr_assert(fleet.simulation.LowestInForce() == Version(2));
  // A restarted process must not revert to the old version either.
  fleet.simulation.Kill(0);
  fleet.simulation.RunFor(seconds(5));
  fleet.simulation.Start(0);
  fleet.simulation.RunFor(seconds(5));
  cr_assert(fleet.simulation.InForce(0) == Version(2));
  cr_assert(fleet.simulation.reverts() == 0);
}

Test(fleet_faults, data_centre_without_platform_updates_from_peers) {
  auto fleet = Fleet();
  fleet.simulation.CutPlatform(1);
  fleet.Publish();
  fleet.simulation.RunFor(seconds(2));
  cr_assert(fleet.simulation.LowestInForce() == Version(2));
}

Test(fleet_faults, partition_is_detected_and_heals) {
  auto fleet = Fleet();
  fleet.simulation.Cut(0, 1);
  fleet.simulation.Cut(0, 2);
  fleet.simulation.CutPlatform(0);
  fleet.simulation.RunFor(seconds(10));
  cr_assert(fleet.simulation.node(0).members().unreachable.size() == 2);
  cr_assert(fleet.HasEvent(0, EventKind::kPartitionBegun));
  cr_assert(fleet.simulation.false_deaths() == 0);
  fleet.Publish();
  fleet.simulation.RunFor(seconds(3));
  cr_assert(fleet.simulation.InForce(0) == Version(1));
  cr_assert(fleet.simulation.InForce(3) == Version(2));
  fleet.simulation.JoinAll();
  fleet.simulation.RunFor(seconds(15));
  cr_assert(fleet.simulation.node(0).members().unreachable.empty());
  cr_assert(fleet.simulation.LowestInForce() == Version(2));
}

Test(fleet_faults, resumed_process_declares_no_deaths) {
  auto fleet = Fleet();
  fleet.simulation.Pause(0, seconds(60));
  fleet.simulation.RunFor(seconds(65));
  cr_assert(fleet.HasEvent(0, EventKind::kProcessPaused));
  cr_assert(!fleet.HasEvent(0, EventKind::kMemberDead));
  const auto* member = FindMember(fleet.simulation.node(3).members(),
                                  fleet.simulation.node(0).members().self);
  cr_assert(member != nullptr && member->state == MemberState::kAlive);
}

Test(fleet_faults, planned_leave_is_announced_immediately) {
  auto fleet = Fleet();
  fleet.simulation.Leave(6);
  fleet.simulation.RunFor(seconds(2));
  for (std::size_t i = 0; i < 6; ++i) {
    const auto& view = fleet.simulation.node(i).members();
    const auto* member =
        FindMember(view, fleet.simulation.node(6).members().self);
    cr_assert(member->state == MemberState::kLeaving);
  }
}

Test(fleet_faults, malformed_index_is_refused_and_current_version_stays) {
  auto fleet = Fleet();
  fleet.simulation.platform().Write(std::string(kIndexKey), "{\"x\":1}");
  fleet.simulation.Publish({});
  fleet.simulation.RunFor(seconds(3));
  cr_assert(fleet.simulation.refusals() > 0);
  cr_assert(fleet.HasEvent(0, EventKind::kVersionRefused));
  cr_assert(fleet.simulation.LowestInForce() == Version(1));
  fleet.Publish();
  fleet.simulation.RunFor(seconds(3));
  cr_assert(fleet.simulation.LowestInForce() == Version(2));
}

Test(fleet_faults, reused_version_with_different_content_is_refused) {
  auto fleet = Fleet();
  auto other = ConfigPublisher(ConfigSize{3, 5, 9}, 9);
  fleet.simulation.Publish(other.NextVersion(fleet.simulation.now()));
  fleet.simulation.RunFor(seconds(3));
  cr_assert(fleet.simulation.refusals() > 0);
  cr_assert(fleet.simulation.node(0).config()->services.size() == 4);
}

Test(fleet_faults, rapid_changes_converge_on_the_last_version) {
  auto fleet = Fleet(0.1);
  for (auto change = 0; change < 50; ++change) {
    fleet.Publish();
    fleet.simulation.RunFor(std::chrono::milliseconds(20));
  }
  fleet.simulation.RunFor(seconds(2));
  cr_assert(fleet.simulation.LowestInForce() == fleet.publisher.version());
}

Test(fleet_schedule, parses_a_schedule_and_rejects_unknown_steps) {
  const auto steps = [](const std::string& text) {
    return TryOr(
        [&text]() -> Result<std::size_t> {
          BOOST_LEAF_AUTO(schedule, ParseFleetSchedule(text));
          return schedule.size();
        },
        [](const Error&) { return std::size_t{0}; });
  };
  cr_assert(steps("- {at: 1s, do: publish}\n- {at: 500ms, do: kill}\n") == 2);
  cr_assert(steps("- {at: 1s, do: explode}\n") == 0);
}

}  // namespace
}  // namespace hemlockwick
