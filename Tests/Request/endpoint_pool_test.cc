#include "Request/endpoint_pool.h"

#include <criterion/criterion.h>

#include <chrono>
#include <map>
#include <memory>

namespace hemlockwick {
namespace {

constexpr TimePoint kNow = TimePoint(std::chrono::hours(1));

auto MakeService(std::size_t endpoints) -> Service {
  auto service = Service();
  service.id = ServiceId(1);
  service.kind = ServiceKind::kRequest;
  for (auto index = std::size_t{0}; index < endpoints; ++index) {
    auto endpoint = Endpoint();
    endpoint.id = EndpointId(1 + index);
    endpoint.data_centre = DataCentreId(1 + index % 3);
    service.endpoints.push_back(endpoint);
  }
  return service;
}

auto MakeConfig() -> FleetConfig {
  auto config = FleetConfig();
  for (auto centre = std::uint64_t{1}; centre <= 3; ++centre) {
    config.data_centres.push_back({DataCentreId(centre), "", RegionId(1)});
  }
  return config;
}

auto MakeView(std::size_t self, std::size_t count) -> MemberView {
  auto view = MemberView();
  view.self = InstanceId(1 + self);
  view.data_centre = DataCentreId(1 + self % 3);
  for (auto number = std::size_t{0}; number < count; ++number) {
    auto member = Member();
    member.id = InstanceId(1 + number);
    member.data_centre = DataCentreId(1 + number % 3);
    view.members.push_back(member);
  }
  return view;
}

Test(endpoint_pool, shares_out_every_slot_once) {
  constexpr std::size_t kMembers = 7;
  auto slots = std::map<EndpointId, std::uint32_t>();
  auto long_slots = std::map<EndpointId, std::uint32_t>();
  for (auto self = std::size_t{0}; self < kMembers; ++self) {
    auto pool = EndpointPool();
    pool.Update(MakeService(14), MakeConfig(), MakeView(self, kMembers));
    cr_assert_eq(pool.owned_slots(), 6);
    cr_assert_eq(pool.owned_long_slots(), 4);
    for (const auto index : pool.Usable(kNow)) {
      const auto& tracked = pool.at(index);
      slots[tracked.id()] += tracked.owned_slots();
      long_slots[tracked.id()] += tracked.owned_long_slots();
    }
  }
  cr_assert_eq(slots.size(), 14);
  for (const auto& [id, count] : slots) {
    cr_assert_eq(count, 3);
    cr_assert_eq(long_slots[id], 2, "the last slot is left to short work");
  }
}

Test(endpoint_pool, bounds_the_candidates_of_a_large_service) {
  auto pool = EndpointPool();
  pool.Update(MakeService(5'000), MakeConfig(), MakeView(3, 7));
  cr_assert_leq(pool.Usable(kNow).size(), 64);
  cr_assert_gt(pool.owned_slots(), 0);
}

Test(endpoint_pool, covers_a_large_service_with_many_instances) {
  constexpr std::size_t kMembers = 100;
  auto users = std::map<EndpointId, int>();
  for (auto self = std::size_t{0}; self < kMembers; ++self) {
    auto pool = EndpointPool();
    pool.Update(MakeService(400), MakeConfig(), MakeView(self, kMembers));
    for (const auto index : pool.Usable(kNow)) {
      ++users[pool.at(index).id()];
    }
  }
  cr_assert_eq(users.size(), 400);
  for (const auto& [id, count] : users) {
    cr_assert(count >= 7 && count <= 9, "%d instances use one", count);
  }
}

Test(endpoint_pool, gives_no_new_work_to_a_draining_endpoint) {
  auto pool = EndpointPool();
  auto service = MakeService(3);
  pool.Update(service, MakeConfig(), MakeView(0, 1));
  pool.Find(EndpointId(1))->OnDispatch(WorkClass::kShort, kNow);
  service.endpoints[0].state = EndpointState::kDraining;
  pool.Update(service, MakeConfig(), MakeView(0, 1));
  cr_assert_eq(pool.Usable(kNow).size(), 2);
  cr_assert_not_null(pool.Find(EndpointId(1)), "work in progress was dropped");
}

Test(endpoint_pool, ignores_ejection_when_most_endpoints_look_bad) {
  auto pool = EndpointPool();
  pool.Update(MakeService(4), MakeConfig(), MakeView(0, 1));
  const auto fail = [&pool](std::uint64_t id) {
    auto& tracked = *pool.Find(EndpointId(id));
    tracked.OnDispatch(WorkClass::kShort, kNow);
    tracked.OnResult(WorkClass::kShort, AttemptOutcome::kNotSent, nullptr,
                     kNow);
  };
  fail(1);
  cr_assert_eq(pool.Usable(kNow).size(), 3);
  fail(2);
  fail(3);
  cr_assert_eq(pool.Usable(kNow).size(), 4);
}

Test(endpoint_pool, own_observation_outranks_a_report) {
  auto pool = EndpointPool();
  pool.Update(MakeService(1), MakeConfig(), MakeView(0, 1));
  auto& tracked = *pool.Find(EndpointId(1));
  tracked.OnDispatch(WorkClass::kShort, kNow);
  tracked.OnResult(WorkClass::kShort, AttemptOutcome::kShed, nullptr, kNow);
  tracked.OnReport({EndpointId(1), 0, 0, kNow}, kNow);
  cr_assert_eq(tracked.observed_free(), 0);
  const auto later = kNow + std::chrono::seconds(2);
  tracked.OnReport({EndpointId(1), 0, 0, later}, later);
  cr_assert_eq(tracked.observed_free(), 3);
}

Test(endpoint_pool,
     trusts_an_endpoint_less_that_sheds_after_reporting_free_slots) {
  auto pool = EndpointPool();
  pool.Update(MakeService(1), MakeConfig(), MakeView(0, 1));
  auto& tracked = *pool.Find(EndpointId(1));
  const auto claim = EndpointLoad{EndpointId(1), 0, 0, kNow};
  const auto run = [&](AttemptOutcome outcome) {
    tracked.OnDispatch(WorkClass::kShort, kNow);
    tracked.OnResult(WorkClass::kShort, outcome, &claim, kNow);
  };
  run(AttemptOutcome::kAnswered);
  const auto honest = tracked.FreeProbability(1, 0.2, kNow);
  for (auto count = 0; count < 20; ++count) {
    run(AttemptOutcome::kAnswered);
    run(AttemptOutcome::kShed);
  }
  run(AttemptOutcome::kAnswered);
  cr_assert_lt(tracked.FreeProbability(1, 0.2, kNow), honest);
}

Test(endpoint_pool, starts_a_cold_endpoint_slowly) {
  auto pool = EndpointPool();
  auto service = MakeService(1);
  service.endpoints[0].state = EndpointState::kCold;
  service.endpoints[0].state_since = kNow;
  pool.Update(service, MakeConfig(), MakeView(0, 1));
  const auto& tracked = *pool.Find(EndpointId(1));
  cr_assert_lt(tracked.SlowStartFactor(kNow), 0.5);
  cr_assert_eq(tracked.SlowStartFactor(kNow + std::chrono::seconds(10)), 1);
}

}  // namespace
}  // namespace hemlockwick
