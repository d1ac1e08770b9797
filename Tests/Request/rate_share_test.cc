#include "Request/rate_share.h"

#include <criterion/criterion.h>

#include <chrono>
#include <deque>
#include <vector>

#include "Core/random.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr std::size_t kMembers = 7;

auto MakeView(std::size_t self, std::size_t members) -> MemberView {
  auto view = MemberView();
  view.self = InstanceId(1 + self);
  for (auto number = std::size_t{0}; number < members; ++number) {
    auto member = Member();
    member.id = InstanceId(1 + number);
    member.data_centre = DataCentreId(1 + number % 3);
    view.members.push_back(member);
  }
  return view;
}

// Seven instances that share one limit and may lose each other's reports.
class SharingFleet {
 public:
  SharingFleet() {
    for (auto number = std::size_t{0}; number < kMembers; ++number) {
      shares.emplace_back(InstanceId(1 + number), kStart);
      views.push_back(MakeView(number, kMembers));
      shares.back().OnMembers(views.back(), kStart);
    }
  }

  // Advances one second: arrivals, and reports, each lost with probability
  // `loss`.
  void Step(double loss, Random& random) {
    now += std::chrono::seconds(1);
    for (auto from = std::size_t{0}; from < kMembers; ++from) {
      const auto arrivals = random.Below(200);
      for (auto count = std::uint64_t{0}; count < arrivals; ++count) {
        shares[from].OnArrival(now);
      }
      const auto demand = shares[from].TakeReport(now);
      for (auto to = std::size_t{0}; to < kMembers; ++to) {
        if (to != from && !random.Chance(loss)) {
          shares[to].OnReport(InstanceId(1 + from), demand, now);
        }
      }
    }
  }

  void Apply(std::size_t number) {
    shares[number].OnMembers(views[number], now);
  }

  [[nodiscard]] auto Sum() const -> double {
    auto sum = 0.0;
    for (const auto& share : shares) {
      sum += share.Share(now);
    }
    return sum;
  }

  std::deque<RateShare> shares;
  std::vector<MemberView> views;
  TimePoint now = kStart;
};

Test(rate_share, uses_the_whole_limit_when_all_views_agree) {
  auto fleet = SharingFleet();
  auto random = Random(1);
  for (auto second = 0; second < 30; ++second) {
    fleet.Step(0, random);
  }
  cr_assert_leq(fleet.Sum(), 1.0 + 1e-9);
  cr_assert_geq(fleet.Sum(), 0.95);
}

Test(rate_share, stays_within_its_bound_however_reports_are_lost) {
  for (auto seed = std::uint64_t{1}; seed <= 20; ++seed) {
    auto fleet = SharingFleet();
    auto random = Random(seed);
    for (auto second = 0; second < 60; ++second) {
      fleet.Step(0.7, random);
      cr_assert_leq(fleet.Sum(), kMaxShareSum);
    }
  }
}

Test(rate_share, a_partition_does_not_raise_the_sum) {
  auto fleet = SharingFleet();
  auto random = Random(3);
  for (auto second = 0; second < 20; ++second) {
    fleet.Step(0, random);
  }
  for (auto number = std::size_t{0}; number < kMembers; ++number) {
    for (auto& member : fleet.views[number].members) {
      const auto home = DataCentreId(1 + number % 3);
      if (member.data_centre != home) {
        member.state = MemberState::kDead;
        fleet.views[number].unreachable.push_back(member.data_centre);
      }
    }
    fleet.Apply(number);
  }
  for (auto second = 0; second < 300; ++second) {
    fleet.Step(1, random);
    cr_assert_leq(fleet.Sum(), kMaxShareSum);
  }
}

Test(rate_share, a_member_wrongly_marked_dead_keeps_the_sum_in_bound) {
  auto fleet = SharingFleet();
  auto random = Random(4);
  for (auto second = 0; second < 20; ++second) {
    fleet.Step(0, random);
  }
  for (auto number = std::size_t{1}; number < kMembers; ++number) {
    fleet.views[number].members[0].state = MemberState::kDead;
    fleet.Apply(number);
  }
  for (auto second = 0; second < 120; ++second) {
    fleet.Step(0, random);
    cr_assert_leq(fleet.Sum(), kMaxShareSum);
  }
}

Test(rate_share, admits_no_more_than_its_part) {
  auto share = RateShare(InstanceId(1), kStart);
  auto admitted = 0;
  for (auto millis = 0; millis < 10'000; ++millis) {
    admitted += share.Admit(50, kStart + std::chrono::milliseconds(millis));
  }
  cr_assert_leq(admitted, 50 * 10 + 5);
  cr_assert_geq(admitted, 50 * 10 - 5);
}

}  // namespace
}  // namespace hemlockwick
