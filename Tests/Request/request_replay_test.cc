#include "Measure/request_replay.h"

#include <criterion/criterion.h>

#include <chrono>

#include "Measure/central_queue.h"
#include "Measure/request_measures.h"
#include "Measure/trace_generator.h"
#include "Request/likely_free_policy.h"
#include "Request/uniform_policy.h"

namespace hemlockwick {
namespace {

using std::chrono::seconds;

Test(request_replay, keeps_its_guarantees_under_random_faults) {
  for (const auto seed : {11, 12}) {
    const auto outcome = ReplayWithFaults(20'000, seed);
    cr_assert_gt(outcome.unknown, 0, "no fault took effect");
    cr_assert_gt(outcome.late_results, 0);
    cr_assert_eq(outcome.faults.doubled, 0);
    cr_assert_eq(outcome.faults.false_not_run, 0);
    cr_assert_eq(outcome.faults.cross_delivered, 0);
    cr_assert_eq(outcome.faults.two_finals, 0);
    cr_assert_eq(outcome.faults.no_final, 0);
    cr_assert_eq(outcome.faults.late_to_draining, 0);
  }
}

Test(request_replay, short_work_waits_little_behind_long_work) {
  const auto trace = MakeSteadyTrace(0.7, seconds(20), 21);
  const auto settings = ReplaySettings{.seed = 21};
  const auto chosen = ReplayTrace<LikelyFreePolicy>(trace, settings);
  const auto uniform = ReplayTrace<UniformPolicy>(trace, settings);
  const auto limit = ReplayCentral(trace, std::chrono::milliseconds(100));
  const auto wait = ShortWaitMillis(trace, chosen, 0.99);
  cr_assert_leq(wait, 2 * (ShortWaitMillis(trace, limit, 0.99) + 0.5) + 5);
  cr_assert_leq(10 * wait, ShortWaitMillis(trace, uniform, 0.99));
}

Test(request_replay, is_repeatable) {
  const auto trace = MakeSteadyTrace(0.9, seconds(5), 3);
  const auto settings = ReplaySettings{.seed = 3};
  const auto first = ReplayTrace<LikelyFreePolicy>(trace, settings);
  const auto second = ReplayTrace<LikelyFreePolicy>(trace, settings);
  cr_assert_eq(first.dispatches, second.dispatches);
  cr_assert_eq(first.sheds, second.sheds);
}

}  // namespace
}  // namespace hemlockwick
