#include "Flow/observation_clock.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr Duration kShort = std::chrono::milliseconds(20);
constexpr Duration kLong = std::chrono::milliseconds(300);

Test(observation_clock, short_steps_count_whole) {
  auto clock = ObservationClock();
  clock.Tick(kStart);
  clock.Tick(kStart + kShort);
  clock.Tick(kStart + 2 * kShort);
  cr_assert_eq(clock.elapsed(), 2 * kShort);
}

Test(observation_clock, long_step_counts_for_the_bound_only) {
  auto clock = ObservationClock();
  clock.Tick(kStart);
  clock.Tick(kStart + kLong);
  cr_assert_eq(clock.elapsed(), ObservationClock::kMaxStep);
}

Test(observation_clock, time_since_the_last_tick_is_bounded_too) {
  auto clock = ObservationClock();
  clock.Tick(kStart);
  cr_assert_eq(clock.ElapsedAt(kStart + kShort), kShort);
  cr_assert_eq(clock.ElapsedAt(kStart + kLong), ObservationClock::kMaxStep);
  cr_assert_eq(clock.elapsed(), Duration(0));
}

}  // namespace
}  // namespace hemlockwick
