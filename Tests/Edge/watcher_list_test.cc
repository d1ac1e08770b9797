#include "Edge/watcher_list.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <set>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr auto kSecond = std::chrono::seconds(1);
constexpr DataCentreId kHere{1};
constexpr DataCentreId kElsewhere{2};

auto RelayAt(std::uint32_t number) -> SocketAddress {
  return {Ipv4Address(number), Port(7700)};
}

auto WatcherAt(std::uint32_t number, DataCentreId data_centre = kHere,
               std::uint32_t capacity = 10, bool has_capacity = true)
    -> Watcher {
  return {RelayAt(number), data_centre, capacity, has_capacity};
}

auto NewList(std::uint32_t capacity) -> WatcherList {
  return WatcherList(WatcherAt(1000, kHere, capacity), 1);
}

Test(watcher_list, admits_up_to_capacity_and_refers_others) {
  auto list = NewList(2);
  cr_assert_not(list.Admit(WatcherAt(1), kNow).is_full);
  cr_assert(list.HasCapacity());
  cr_assert_not(list.Admit(WatcherAt(2), kNow).is_full);
  cr_assert_not(list.HasCapacity());
  const auto advice = list.Admit(WatcherAt(3), kNow);
  cr_assert(advice.is_full);
  cr_assert_eq(advice.relays.size(), 2U);
  cr_assert_not(list.Admit(WatcherAt(1), kNow).is_full);
  cr_assert_eq(list.size(), 2U);
}

Test(watcher_list, refers_to_the_largest_watchers_with_capacity) {
  auto list = NewList(4);
  list.Admit(WatcherAt(1, kHere, 10, false), kNow);
  list.Admit(WatcherAt(2, kHere, 10, true), kNow);
  list.Admit(WatcherAt(3, kHere, 50, false), kNow);
  list.Admit(WatcherAt(4, kHere, 40, true), kNow);
  const auto advice = list.Admit(WatcherAt(5), kNow);
  cr_assert(advice.relays == std::vector{RelayAt(4)});
}

Test(watcher_list, spreads_referrals_over_the_watchers) {
  auto list = NewList(8);
  for (auto number = std::uint32_t{1}; number <= 8; ++number) {
    list.Admit(WatcherAt(number), kNow);
  }
  auto named = std::set<SocketAddress>();
  for (auto number = std::uint32_t{10}; number < 60; ++number) {
    named.insert(list.Admit(WatcherAt(number), kNow).relays.front());
  }
  cr_assert_eq(named.size(), 8U);
}

Test(watcher_list, serves_two_of_another_data_centre) {
  auto list = NewList(10);
  cr_assert_not(list.Admit(WatcherAt(1, kElsewhere), kNow).is_full);
  cr_assert_not(list.Admit(WatcherAt(2, kElsewhere), kNow).is_full);
  const auto advice = list.Admit(WatcherAt(3, kElsewhere), kNow);
  cr_assert(advice.is_full);
  cr_assert(std::ranges::find(advice.relays, RelayAt(1)) !=
            advice.relays.end());
  cr_assert_not(list.Admit(WatcherAt(4, kHere), kNow).is_full);
}

// Small instances that joined first must not stay near the root of the tree,
// where much traffic passes.
Test(watcher_list, a_large_instance_takes_the_place_of_a_small_one) {
  auto list = NewList(10);
  list.Admit(WatcherAt(1, kElsewhere, 10), kNow);
  list.Admit(WatcherAt(2, kElsewhere, 10), kNow + kSecond);
  cr_assert_not(
      list.Admit(WatcherAt(3, kElsewhere, 60), kNow + kSecond).is_full);
  const auto advice = list.Admit(WatcherAt(2, kElsewhere, 10), kNow + kSecond);
  cr_assert(advice.is_full);
  cr_assert(advice.relays == std::vector{RelayAt(3)});
  cr_assert_not(
      list.Admit(WatcherAt(1, kElsewhere, 10), kNow + kSecond).is_full);
}

Test(watcher_list, forgets_a_watcher_that_does_not_call) {
  auto list = NewList(1);
  list.Admit(WatcherAt(1), kNow);
  list.OnTick(kNow + 2 * kSecond);
  cr_assert(list.Admit(WatcherAt(2), kNow + 2 * kSecond).is_full);
  list.OnTick(kNow + 3 * kSecond);
  cr_assert_not(list.Admit(WatcherAt(2), kNow + 3 * kSecond).is_full);
}

Test(watcher_list, a_watcher_that_relays_nothing_is_always_served) {
  auto list = NewList(1);
  list.Admit(WatcherAt(1), kNow);
  cr_assert_not(list.Admit(Watcher(), kNow).is_full);
  cr_assert_eq(list.size(), 1U);
}

Test(watcher_list, successors_are_the_same_for_all) {
  auto list = NewList(10);
  for (auto number = std::uint32_t{1}; number <= 5; ++number) {
    list.Admit(WatcherAt(number, kHere, 10 * number), kNow);
  }
  const auto successors = list.Successors(kHere);
  cr_assert(successors == std::vector({RelayAt(5), RelayAt(4), RelayAt(3)}));
  cr_assert(list.Admit(WatcherAt(1, kHere, 10), kNow).relays == successors);
  cr_assert(list.Successors(kElsewhere).empty());
}

Test(watcher_list, a_redirecting_relay_refers_to_earlier_watchers) {
  auto list = NewList(10);
  for (auto number = std::uint32_t{1}; number <= 3; ++number) {
    list.Admit(WatcherAt(number, kHere, 10 * number), kNow);
  }
  list.RedirectAll();
  cr_assert_not(list.HasCapacity());
  const auto first = list.Admit(WatcherAt(3, kHere, 30), kNow);
  cr_assert(first.is_full);
  cr_assert(first.relays.empty());
  const auto last = list.Admit(WatcherAt(1, kHere, 10), kNow);
  cr_assert(last.is_full);
  cr_assert(last.relays == std::vector({RelayAt(3), RelayAt(2)}));
}

}  // namespace
}  // namespace hemlockwick
