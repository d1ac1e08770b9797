#include "Flow/first_seen_times.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr Duration kMaxGap = std::chrono::seconds(2);
constexpr Duration kStep = std::chrono::seconds(1);

Test(first_seen_times, new_key_has_been_seen_for_no_time) {
  auto times = FirstSeenTimes<int>(kMaxGap);
  cr_assert_eq(times.See(1, kStart), Duration(0));
  cr_assert_eq(times.See(2, kStart + kStep), Duration(0));
}

Test(first_seen_times, time_counts_from_the_first_sight) {
  auto times = FirstSeenTimes<int>(kMaxGap);
  times.See(1, kStart);
  times.See(1, kStart + kStep);
  cr_assert_eq(times.See(1, kStart + 2 * kStep), 2 * kStep);
}

Test(first_seen_times, key_counts_as_new_after_a_gap) {
  auto times = FirstSeenTimes<int>(kMaxGap);
  times.See(1, kStart);
  cr_assert_eq(times.See(1, kStart + kMaxGap), Duration(0));
}

Test(first_seen_times, forgets_obsolete_keys_only) {
  auto times = FirstSeenTimes<int>(kMaxGap);
  times.See(1, kStart);
  times.See(2, kStart);
  times.ForgetIf([](int key) { return key == 1; });
  cr_assert_eq(times.See(1, kStart + kStep), Duration(0));
  cr_assert_eq(times.See(2, kStart + kStep), kStep);
}

// A caller that sends packets of many flows must not use up the memory.
Test(first_seen_times, number_of_keys_is_bounded) {
  auto times = FirstSeenTimes<std::size_t>(kMaxGap);
  const auto bound = FirstSeenTimes<std::size_t>::kMaxKeys;
  for (auto key = std::size_t{0}; key < 3 * bound; ++key) {
    times.See(key, kStart);
    cr_assert_leq(times.size(), bound);
  }
}

}  // namespace
}  // namespace hemlockwick
