#include "Flow/record_table.h"

#include <criterion/criterion.h>

#include <unordered_map>

#include "Core/random.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr double kMaxBytesPerRecord = 64;

auto MakeRecord(std::uint64_t flow, std::uint64_t endpoint) -> FlowRecord {
  auto record = FlowRecord();
  record.flow = FlowKey(flow);
  record.endpoint = EndpointId(endpoint);
  record.last_seen_seconds = ToUnixSeconds(kNow);
  return record;
}

Test(record_table, agrees_with_a_map_under_random_changes) {
  auto random = Random(11);
  auto table = RecordTable(2000);
  auto model = std::unordered_map<std::uint64_t, std::uint64_t>();
  for (auto step = 0; step < 50'000; ++step) {
    const auto flow = 1 + random.Below(1500);
    if (random.Chance(0.5)) {
      const auto endpoint = 1 + random.Below(9);
      if (table.Put(MakeRecord(flow, endpoint))) {
        model[flow] = endpoint;
      }
    } else {
      table.Remove(FlowKey(flow));
      model.erase(flow);
    }
  }
  cr_assert_eq(table.size(), model.size());
  for (std::uint64_t flow = 1; flow <= 1500; ++flow) {
    const auto found = table.Find(FlowKey(flow));
    const auto expected = model.find(flow);
    cr_assert_eq(found.has_value(), expected != model.end());
    cr_assert(!found || found->endpoint.value() == expected->second);
  }
}

Test(record_table, refuses_records_beyond_its_bound) {
  auto table = RecordTable(640);
  auto kept = std::size_t{0};
  for (std::uint64_t flow = 0; flow < 5000; ++flow) {
    kept += table.Put(MakeRecord(flow, 1)) ? 1 : 0;
  }
  cr_assert_eq(kept, 640U);
  cr_assert_eq(table.size(), 640U);
  cr_assert(table.bytes_per_record() <= kMaxBytesPerRecord);
  cr_assert(RecordTable(500'000).bytes_per_record() <= kMaxBytesPerRecord);
}

// A table of ten records a shard took more on arm64, whose mutex is larger.
Test(record_table, memory_of_a_record_is_bounded_at_any_size) {
  for (const auto records : {64U, 100U, 127U, 128U, 1000U, 4096U, 10'000U}) {
    cr_assert_leq(RecordTable(records).bytes_per_record(), kMaxBytesPerRecord);
  }
}

Test(record_table, small_table_keeps_as_many_records_as_asked_for) {
  for (const auto records :
       {std::size_t{1}, std::size_t{10}, std::size_t{64}}) {
    auto table = RecordTable(records);
    for (std::uint64_t flow = 0; flow < 1000; ++flow) {
      table.Put(MakeRecord(flow, 1));
    }
    cr_assert_eq(table.size(), records);
  }
}

Test(record_table, removes_all_that_ended_in_one_pass) {
  auto table = RecordTable(1000);
  for (std::uint64_t flow = 0; flow < 600; ++flow) {
    table.Put(MakeRecord(flow, flow % 2));
  }
  const auto removed = table.RemoveIf([](const FlowRecord& record) {
    return record.endpoint == EndpointId(1);
  });
  cr_assert_eq(removed, 300U);
  table.ForEach([](const FlowRecord& record) {
    cr_assert(record.endpoint == EndpointId(0));
  });
}

Test(record_table, half_open_flow_is_not_closed) {
  auto table = RecordTable(100);
  table.Put(MakeRecord(1, 1));
  table.Touch(FlowKey(1), true, kNow);
  cr_assert(table.Find(FlowKey(1))->closed_seconds != 0);
  table.Touch(FlowKey(1), false, kNow + std::chrono::seconds(10));
  cr_assert(table.Find(FlowKey(1))->closed_seconds == 0);
}

}  // namespace
}  // namespace hemlockwick
