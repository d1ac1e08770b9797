#include "Measure/flow_bench.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "Core/hash.h"
#include "Core/random.h"
#include "Flow/bucket_table.h"
#include "Flow/flow_router.h"
#include "Flow/flow_snapshot.h"
#include "Measure/flow_world.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kTuples = 4096;
constexpr std::size_t kTupleBytes = 13;
constexpr std::size_t kRounds = 10;
constexpr int kRepeats = 101;

// A new instance does not forward by the table alone at first.
constexpr Duration kWarmUp = std::chrono::seconds(10);
constexpr Duration kTick = std::chrono::milliseconds(200);
constexpr TimePoint kNow{std::chrono::hours(24 * 365 * 56)};

auto MakeTuples(std::uint64_t seed) -> std::vector<std::string> {
  auto random = Random(seed);
  auto tuples = std::vector<std::string>(kTuples);
  for (auto& tuple : tuples) {
    for (std::size_t i = 0; i < kTupleBytes; ++i) {
      tuple.push_back(static_cast<char>(random.Below(256)));
    }
  }
  return tuples;
}

auto OneMemberView(InstanceId self, TimePoint now) -> MemberView {
  auto view = MemberView();
  auto member = Member();
  member.id = self;
  view.self = self;
  view.members = {member};
  view.refreshed = now;
  return view;
}

// Returns the time per call of `work` in nanoseconds, and adds what it returns
// to `sink`, so that it is not optimized away.
template <typename Work>
auto TimePerCall(const std::vector<std::string>& tuples, Work work,
                 std::uint64_t& sink) -> double {
  const auto begin = std::chrono::steady_clock::now();
  for (std::size_t round = 0; round < kRounds; ++round) {
    for (const auto& tuple : tuples) {
      sink += work(std::string_view(tuple));
    }
  }
  const auto spent = std::chrono::duration<double, std::nano>(
      std::chrono::steady_clock::now() - begin);
  return spent.count() / static_cast<double>(kRounds * kTuples);
}

auto MakeShares(std::size_t endpoints) -> std::vector<BucketShare> {
  auto shares = std::vector<BucketShare>();
  for (std::size_t i = 0; i < endpoints; ++i) {
    shares.push_back(
        {IdFromName<EndpointId>("endpoint-" + std::to_string(i)), 100});
  }
  std::sort(shares.begin(), shares.end(), [](const auto& a, const auto& b) {
    return a.endpoint < b.endpoint;
  });
  return shares;
}

auto CountOwners(const std::vector<OwnerIndex>& owners, std::size_t endpoints)
    -> std::vector<std::size_t> {
  auto counts = std::vector<std::size_t>(endpoints);
  for (const auto owner : owners) {
    ++counts[owner];
  }
  return counts;
}

}  // namespace

auto MeasureDecision(std::uint64_t seed) -> DecisionCost {
  const auto world = FlowWorld({14, 4}, kNow);
  const auto self = InstanceId(1);
  auto events = EventLog("bench");
  auto router = FlowRouter({}, self, events, kNow - kWarmUp);
  for (auto now = kNow - kWarmUp; now <= kNow; now += kTick) {
    router.OnTick(now);
    router.Update(world.config(), OneMemberView(self, now), now);
  }
  const auto snapshot = router.snapshots().Load();
  const auto& service = world.config()->services.front();
  const auto table = ServiceTable(service, {}, kNow, kNow);
  auto packet = FlowPacket();
  packet.destination = service->address;
  const auto decide = [&](std::string_view tuple) {
    packet.flow = FlowKey(HashBytes(tuple));
    const auto action = router.Decide(snapshot.get(), packet, kNow);
    return std::get<ForwardToEndpoint>(action).endpoint.value();
  };
  const auto look_up = [&table](std::string_view tuple) {
    const auto bucket = table.BucketOf(FlowKey(HashBytes(tuple)));
    return table.endpoint(table.OwnerOf(bucket)).id.value();
  };
  const auto tuples = MakeTuples(seed);
  auto sink = std::uint64_t{0};
  auto costs = std::vector<DecisionCost>();
  for (auto repeat = 0; repeat < kRepeats; ++repeat) {
    costs.push_back({TimePerCall(tuples, decide, sink),
                     TimePerCall(tuples, look_up, sink)});
  }
  const auto middle = costs.begin() + kRepeats / 2;
  std::nth_element(costs.begin(), middle, costs.end(),
                   [](const DecisionCost& a, const DecisionCost& b) {
                     return a.ratio() < b.ratio();
                   });
  // Keeps `sink` alive; it is never the one value of 2^64.
  return sink == 1 ? DecisionCost() : *middle;
}

template <typename Algorithm>
auto MeasureTable(std::size_t endpoints, std::uint32_t buckets) -> TableCost {
  const auto shares = MakeShares(endpoints);
  const auto begin = std::chrono::steady_clock::now();
  const auto before = Algorithm::Assign(shares, buckets);
  auto cost = TableCost();
  cost.build_seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
          .count();
  const auto counts = CountOwners(before, endpoints);
  const auto most = *std::max_element(counts.begin(), counts.end());
  cost.imbalance = static_cast<double>(most) * static_cast<double>(endpoints) /
                   static_cast<double>(buckets);
  auto fewer = shares;
  fewer.pop_back();
  const auto after = Algorithm::Assign(fewer, buckets);
  auto moved = std::size_t{0};
  for (std::uint32_t bucket = 0; bucket < buckets; ++bucket) {
    moved += before[bucket] == after[bucket] ? 0 : 1;
  }
  cost.moved_share = static_cast<double>(moved) / buckets;
  cost.needed_share = static_cast<double>(counts.back()) / buckets;
  return cost;
}

template auto MeasureTable<MaglevAlgorithm>(std::size_t, std::uint32_t)
    -> TableCost;
template auto MeasureTable<RendezvousAlgorithm>(std::size_t, std::uint32_t)
    -> TableCost;

}  // namespace hemlockwick
