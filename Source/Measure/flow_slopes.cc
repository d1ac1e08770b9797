#include "Measure/flow_slopes.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "Core/hash.h"
#include "Flow/flow_message.h"
#include "Flow/home_table.h"
#include "Flow/record_table.h"
#include "Flow/table_set.h"
#include "Measure/flow_world.h"

namespace hemlockwick {

namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr std::uint32_t kSmallTable = 512;

auto SecondsOf(const std::function<void()>& work) -> double {
  const auto begin = std::chrono::steady_clock::now();
  work();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}

auto MakeService(std::size_t number, std::size_t endpoints,
                 std::uint32_t buckets) -> std::shared_ptr<const Service> {
  auto service = std::make_shared<Service>();
  service->id = ServiceId(number + 1);
  service->address = {Ipv4Address(static_cast<std::uint32_t>(number)),
                      Port(443)};
  service->bucket_count = buckets;
  for (std::size_t i = 0; i < endpoints; ++i) {
    auto endpoint = Endpoint();
    endpoint.id = EndpointId(MixWords(number, i));
    endpoint.address = {
        Ipv4Address(static_cast<std::uint32_t>(number * endpoints + i)),
        Port(6080)};
    service->endpoints.push_back(endpoint);
  }
  return service;
}

auto MakeConfig(std::size_t services, std::size_t endpoints_per_service)
    -> std::shared_ptr<const FleetConfig> {
  auto list = std::vector<std::shared_ptr<const Service>>();
  for (std::size_t i = 0; i < services; ++i) {
    list.push_back(MakeService(i, endpoints_per_service, kSmallTable));
  }
  return BuildFleetConfig(Version(1), Digest(1), kNow, {}, std::move(list));
}

auto Measure(Slope slope, const std::vector<std::size_t>& sizes,
             const std::function<double(std::size_t)>& cost) -> Slope {
  for (const auto size : sizes) {
    slope.samples.push_back({static_cast<double>(size), cost(size)});
  }
  return slope;
}

auto BuildByEndpoints() -> Slope {
  constexpr auto kBucketsPerEndpoint = std::size_t{128};
  return Measure(
      {"flow.table_build_endpoints", "endpoint of one service", "s", {}},
      {1000, 8000, 61'000}, [](std::size_t endpoints) {
        const auto buckets =
            static_cast<std::uint32_t>(endpoints * kBucketsPerEndpoint);
        const auto service = MakeService(0, endpoints, buckets);
        return SecondsOf([&service] { ServiceTable(service, {}, kNow, kNow); });
      });
}

auto BuildByBuckets() -> Slope {
  return Measure(
      {"flow.table_build_buckets", "bucket of 14 endpoints", "s", {}},
      {2048, 16'384, 131'072}, [](std::size_t buckets) {
        const auto service =
            MakeService(0, 14, static_cast<std::uint32_t>(buckets));
        return SecondsOf([&service] { ServiceTable(service, {}, kNow, kNow); });
      });
}

auto FirstConfigByServices() -> Slope {
  return Measure({"flow.first_config", "service of 4 endpoints", "s", {}},
                 {1000, 4000, 14'000}, [](std::size_t services) {
                   const auto config = MakeConfig(services, 4);
                   auto tables = TableSet();
                   return SecondsOf([&] { tables.Apply(*config, kNow); });
                 });
}

auto TableBytesByServices() -> Slope {
  return Measure({"flow.table_bytes", "service of 4 endpoints", "B", {}},
                 {1000, 4000, 14'000}, [](std::size_t services) {
                   const auto config = MakeConfig(services, 4);
                   auto tables = TableSet();
                   tables.Apply(*config, kNow);
                   return static_cast<double>(tables.bytes());
                 });
}

// One service changes; all others are shared with the version before.
auto ChangeByServices() -> Slope {
  return Measure({"flow.one_change", "service of 4 endpoints", "s", {}},
                 {1000, 4000, 14'000}, [](std::size_t services) {
                   const auto config = MakeConfig(services, 4);
                   auto tables = TableSet();
                   tables.Apply(*config, kNow);
                   auto list = config->services;
                   list.front() = MakeService(0, 5, kSmallTable);
                   const auto next = BuildFleetConfig(
                       Version(2), Digest(2), kNow, {}, std::move(list));
                   return SecondsOf([&] { tables.Apply(*next, kNow); });
                 });
}

auto RecordBytesByFlows() -> Slope {
  return Measure({"flow.record_bytes", "recorded flow", "B", {}},
                 {50'000, 200'000, 500'000}, [](std::size_t flows) {
                   const auto records = RecordTable(flows);
                   return records.bytes_per_record() *
                          static_cast<double>(flows);
                 });
}

auto SweepByFlows(std::uint64_t seed) -> Slope {
  return Measure({"flow.record_sweep", "recorded flow", "s", {}},
                 {50'000, 200'000, 500'000}, [seed](std::size_t flows) {
                   auto records = RecordTable(2 * flows);
                   for (std::size_t i = 0; i < flows; ++i) {
                     auto record = FlowRecord();
                     record.flow = FlowKey(MixWords(seed, i));
                     records.Put(record);
                   }
                   return SecondsOf([&records] {
                     records.RemoveIf([](const FlowRecord& record) {
                       return record.closed_seconds != 0;
                     });
                   });
                 });
}

auto HandOverBytesByFlows(std::uint64_t seed) -> Slope {
  return Measure({"flow.hand_over_bytes", "record handed over", "B", {}},
                 {100, 1000, 5000}, [seed](std::size_t flows) {
                   auto message = HandOver();
                   for (std::size_t i = 0; i < flows; ++i) {
                     auto record = HandOverRecord();
                     record.flow = FlowKey(MixWords(seed, i));
                     record.endpoint = EndpointId(MixWords(1, i % 14));
                     record.opened = kNow;
                     record.last_seen = kNow;
                     message.records.push_back(record);
                   }
                   return static_cast<double>(Encode(message).size());
                 });
}

auto HomesByInstances() -> Slope {
  return Measure({"flow.home_table_build", "instance of the region", "s", {}},
                 {7, 200, 2000}, [](std::size_t instances) {
                   auto members = std::vector<HomeMember>(instances);
                   for (std::size_t i = 0; i < instances; ++i) {
                     members[i].id = InstanceId(MixWords(2, i));
                     members[i].data_centre = DataCentreId(i % 4);
                   }
                   return SecondsOf([&members] { HomeTable table(members); });
                 });
}

}  // namespace

auto FlowSlopes(std::uint64_t seed) -> std::vector<Slope> {
  return {BuildByEndpoints(),      BuildByBuckets(),
          FirstConfigByServices(), TableBytesByServices(),
          ChangeByServices(),      RecordBytesByFlows(),
          SweepByFlows(seed),      HandOverBytesByFlows(seed),
          HomesByInstances()};
}

}  // namespace hemlockwick
