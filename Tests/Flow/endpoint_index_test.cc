#include "Flow/endpoint_index.h"

#include <criterion/criterion.h>

#include <map>
#include <set>
#include <utility>
#include <vector>

#include "Core/random.h"

namespace hemlockwick {
namespace {

constexpr std::uint64_t kServices = 7;
constexpr std::uint64_t kIds = 200;

auto MakeEndpoint(std::uint64_t id, std::uint64_t service,
                  bool accepts_new_flows) -> DirectoryEndpoint {
  auto endpoint = DirectoryEndpoint();
  endpoint.report.id = EndpointId(id);
  endpoint.report.service = ServiceId(service);
  endpoint.token = TokenOf(EndpointId(id));
  endpoint.accepts_new_flows = accepts_new_flows;
  return endpoint;
}

// The endpoints that an index should hold, by id.
using Expected = std::map<std::uint64_t, DirectoryEndpoint>;

auto IdsOf(std::span<const EndpointPointer> endpoints)
    -> std::vector<std::uint64_t> {
  auto ids = std::vector<std::uint64_t>();
  for (const auto& endpoint : endpoints) {
    ids.push_back(endpoint->report.id.value());
  }
  return ids;
}

auto EligibleIn(const Expected& expected, ServiceId service)
    -> std::vector<std::uint64_t> {
  auto ids = std::vector<std::uint64_t>();
  auto tokens = std::set<FlowToken>();
  for (const auto& [id, endpoint] : expected) {
    const auto is_first = endpoint.report.service == service &&
                          tokens.insert(endpoint.token).second;
    if (is_first && endpoint.accepts_new_flows) {
      ids.push_back(id);
    }
  }
  return ids;
}

void ExpectHolds(const EndpointIndex& index, const Expected& expected) {
  cr_assert_eq(index.size(), expected.size());
  for (const auto& [id, endpoint] : expected) {
    auto found = 0;
    index.ForEach(endpoint.token, [&found, &wanted = endpoint.report](
                                      const DirectoryEndpoint& other) {
      if (other.report.id == wanted.id) {
        ++found;
        cr_assert(other.report == wanted);
      }
    });
    cr_assert_eq(found, 1);
  }
  for (auto service = std::uint64_t{0}; service < kServices; ++service) {
    cr_assert(IdsOf(index.EligibleEndpointsOf(ServiceId(service))) ==
              EligibleIn(expected, ServiceId(service)));
  }
}

Test(endpoint_index, an_empty_index_knows_nothing) {
  const auto index = EndpointIndex();
  auto found = 0;
  index.ForEach(FlowToken(5), [&found](const DirectoryEndpoint&) { ++found; });
  cr_assert_eq(found, 0);
  cr_assert(index.EligibleEndpointsOf(ServiceId(1)).empty());
}

// The ids above 2^32 share their tokens with lower ones.
Test(endpoint_index, copies_stay_unchanged_under_random_changes) {
  auto random = Random(5);
  auto index = EndpointIndex();
  auto expected = Expected();
  auto copies = std::vector<std::pair<EndpointIndex, Expected>>();
  for (auto step = 0; step < 4000; ++step) {
    auto id = 1 + random.Below(kIds);
    id = random.Chance(0.3) ? (std::uint64_t{1} << 32) | (id ^ 1) : id;
    if (random.Chance(0.4)) {
      index.Remove(EndpointId(id));
      expected.erase(id);
    } else {
      const auto endpoint =
          MakeEndpoint(id, random.Below(kServices), random.Chance(0.8));
      index.Put(endpoint);
      expected.insert_or_assign(id, endpoint);
    }
    if (random.Chance(0.05)) {
      index.Commit();
      copies.emplace_back(index, expected);
    }
  }
  for (const auto& [copy, held] : copies) {
    ExpectHolds(copy, held);
  }
}

Test(endpoint_index, reports_an_endpoint_with_a_taken_token_once) {
  constexpr auto kOther = (std::uint64_t{1} << 32) | 2;
  auto index = EndpointIndex();
  index.Put(MakeEndpoint(3, 1, true));
  cr_assert(index.Commit().empty());
  index.Put(MakeEndpoint(kOther, 1, true));
  cr_assert(index.Commit() == std::vector{EndpointId(kOther)});
  index.Put(MakeEndpoint(4, 1, true));
  cr_assert(index.Commit().empty());
  index.Remove(EndpointId(3));
  cr_assert(index.Commit().empty());
  cr_assert_eq(index.EligibleEndpointsOf(ServiceId(1)).size(), 2U);
}

}  // namespace
}  // namespace hemlockwick
