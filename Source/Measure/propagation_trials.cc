#include "Measure/propagation_trials.h"

namespace hemlockwick {

namespace {

constexpr Duration kSettleTime = std::chrono::seconds(10);
constexpr Duration kPlatformWatch = std::chrono::milliseconds(1100);

template <typename Act>
void ForSeeds(PropagationWorld& world, Act&& act) {
  for (std::size_t i = 0; i < world.size() && world.IsSeed(i); ++i) {
    act(i);
  }
}

void KillSeeds(PropagationWorld& world) {
  ForSeeds(world, [&](std::size_t i) { world.Kill(i, true); });
}

void RefuseSeeds(PropagationWorld& world) {
  ForSeeds(world, [&](std::size_t i) { world.Refuse(i, true); });
  // Watches that the platform holds end first.
  world.RunFor(kPlatformWatch);
}

void CutOffLastDataCentre(PropagationWorld& world) {
  world.CutOff(world.DataCentreOf(world.size() - 1), true);
}

void KillHalf(PropagationWorld& world) {
  for (std::size_t i = 1; i < world.size(); i += 2) {
    world.Kill(i, true);
  }
}

void KillBusiestRelay(PropagationWorld& world) {
  auto busiest = world.size() - 1;
  for (std::size_t i = 0; i < world.size(); ++i) {
    if (!world.IsSeed(i) && world.Watchers(i) > world.Watchers(busiest)) {
      busiest = i;
    }
  }
  world.Kill(busiest, true);
}

}  // namespace

auto PropagationTrials() -> std::vector<PropagationTrial> {
  return {
      {"calm", 0, [](PropagationWorld&) {}, true},
      {"one call in a hundred lost", 0.01, [](PropagationWorld&) {}, true},
      {"the busiest relay loses power", 0, KillBusiestRelay},
      {"a seed loses power", 0,
       [](PropagationWorld& world) { world.Kill(0, true); }},
      {"all seeds lose power", 0, KillSeeds},
      {"the platform refuses all seeds", 0, RefuseSeeds},
      {"half of the fleet loses power", 0, KillHalf},
      {"a data centre is cut off", 0, CutOffLastDataCentre},
  };
}

auto PlayTrial(const PropagationTrial& trial, PropagationSettings settings,
               Duration time) -> PropagationOutcome {
  settings.loss = trial.loss;
  auto world = PropagationWorld(settings);
  world.RunFor(kSettleTime);
  trial.strike(world);
  world.ResetCounts();
  world.Change();
  world.RunFor(time);
  const auto a_second = [time](std::size_t count) {
    return static_cast<double>(count) / ToSeconds(time);
  };
  auto outcome = PropagationOutcome();
  outcome.spread = world.Spread();
  outcome.busiest_bytes = a_second(world.BusiestBytes());
  outcome.far_bytes = a_second(world.far_bytes());
  outcome.platform_calls = a_second(world.platform_calls());
  return outcome;
}

}  // namespace hemlockwick
