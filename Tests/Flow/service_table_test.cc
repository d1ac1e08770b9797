#include "Flow/service_table.h"

#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "Flow/flow_timing.h"
#include "Measure/flow_world.h"

namespace hemlockwick {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr TimePoint kNow{hours(500'000)};

auto Present(const FlowWorld& world) -> std::shared_ptr<const Service> {
  const auto id = IdFromName<ServiceId>("service-0");
  for (const auto& service : world.config()->services) {
    if (service->id == id) {
      return service;
    }
  }
  return nullptr;
}

auto MakeTable(const FlowWorld& world, TimePoint published_at, TimePoint now)
    -> ServiceTable {
  const auto service = Present(world);
  return {service, service->endpoint_history, published_at, now};
}

Test(service_table, unchanged_service_is_settled) {
  const auto world = FlowWorld({14}, kNow);
  const auto table = MakeTable(world, kNow, kNow);
  cr_assert_eq(table.unsettled_count(), 0U);
}

Test(service_table, drained_endpoint_keeps_unrecorded_flows_only) {
  auto world = FlowWorld({14}, kNow);
  const auto before = MakeTable(world, kNow, kNow);
  const auto published = kNow + hours(1);
  world.Drain(3, published);
  world.Publish(published);
  const auto later = published + kActivationDelay;
  const auto table = MakeTable(world, published, later);
  cr_assert(table.unsettled_count() > 0);
  for (std::uint32_t bucket = 0; bucket < table.bucket_count(); ++bucket) {
    const auto old_id = before.endpoint(before.OwnerOf(bucket)).id;
    const auto earliest = table.EarliestOwnerOf(bucket);
    cr_assert(table.endpoint(earliest).id == old_id);
    const auto chosen = table.OwnerOfNewFlow(bucket, FlowKey(bucket), later);
    cr_assert(chosen == table.OwnerOf(bucket));
    const auto left = world.LeavingSince(table.endpoint(chosen).id);
    cr_assert(left == TimePoint::max());
  }
}

Test(service_table, leaving_endpoint_takes_no_new_flow_after_its_delay) {
  auto world = FlowWorld({14}, kNow);
  world.Drain(3, kNow);
  world.Publish(kNow);
  const auto table = MakeTable(world, kNow, kNow);
  auto moved = std::size_t{0};
  for (std::uint32_t bucket = 0; bucket < table.bucket_count(); ++bucket) {
    const auto flow = FlowKey(bucket);
    const auto early = table.OwnerOfNewFlow(bucket, flow, kNow);
    cr_assert(early == table.EarliestOwnerOf(bucket));
    const auto late = table.OwnerOfNewFlow(bucket, flow, kNow + kDrainDelay);
    const auto leaves =
        world.LeavingSince(table.endpoint(early).id) != TimePoint::max();
    cr_assert(late == (leaves ? kNoOwner : early));
    moved += leaves ? 1 : 0;
  }
  cr_assert(moved > 0);
}

Test(service_table, second_move_keeps_the_earliest_owner) {
  auto world = FlowWorld({14}, kNow);
  const auto first = MakeTable(world, kNow, kNow);
  world.Drain(3, kNow + hours(1));
  world.Publish(kNow + hours(1));
  world.Drain(5, kNow + hours(2));
  world.Publish(kNow + hours(2));
  const auto table = MakeTable(world, kNow + hours(2), kNow + hours(3));
  for (std::uint32_t bucket = 0; bucket < table.bucket_count(); ++bucket) {
    const auto earliest = table.EarliestOwnerOf(bucket);
    cr_assert(table.endpoint(earliest).id ==
              first.endpoint(first.OwnerOf(bucket)).id);
  }
}

Test(service_table, bucket_settles_when_the_flows_have_ended) {
  auto world = FlowWorld({14}, kNow);
  world.Drain(3, kNow + hours(1));
  world.Publish(kNow + hours(1));
  const auto ends = kNow + hours(25) + kActivationDelay;
  const auto before = MakeTable(world, kNow + hours(1), ends - seconds(1));
  cr_assert(before.unsettled_count() > 0);
  cr_assert(before.next_change() == ends);
  const auto after = MakeTable(world, kNow + hours(1), ends);
  cr_assert_eq(after.unsettled_count(), 0U);
}

Test(service_table, cold_endpoint_takes_a_rising_share) {
  auto world = FlowWorld({13}, kNow);
  world.Add(kNow);
  world.Publish(kNow);
  const auto cold_flows = [&world](TimePoint now) {
    const auto table = MakeTable(world, kNow, now);
    auto count = std::size_t{0};
    for (std::uint64_t flow = 0; flow < 100'000; ++flow) {
      const auto bucket = table.BucketOf(FlowKey(flow));
      const auto owner = table.OwnerOfNewFlow(bucket, FlowKey(flow), now);
      count += table.endpoint(owner).cold ? 1 : 0;
    }
    return count;
  };
  const auto full = cold_flows(kNow + kSlowStart);
  const auto half = cold_flows(kNow + kSlowStart / 2);
  const auto early = cold_flows(kNow + kActivationDelay);
  cr_assert(early < full / 4);
  cr_assert(half > full * 4 / 10 && half < full * 6 / 10);
}

}  // namespace
}  // namespace hemlockwick
