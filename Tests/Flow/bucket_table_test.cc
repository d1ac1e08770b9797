#include "Flow/bucket_table.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <string>

namespace hemlockwick {
namespace {

constexpr std::uint32_t kBuckets = 2048;

auto MakeShares(std::size_t count) -> std::vector<BucketShare> {
  auto shares = std::vector<BucketShare>();
  for (std::size_t i = 0; i < count; ++i) {
    shares.push_back({IdFromName<EndpointId>("e" + std::to_string(i)), 100});
  }
  return shares;
}

auto CountOf(const std::vector<OwnerIndex>& owners, OwnerIndex owner)
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count(owners.begin(), owners.end(), owner));
}

Test(bucket_table, maglev_follows_the_weights) {
  auto shares = MakeShares(14);
  shares[3].weight = 50;
  const auto owners = MaglevAlgorithm::Assign(shares, kBuckets);
  const auto full = CountOf(owners, 0);
  const auto half = CountOf(owners, 3);
  cr_assert(full - 2 * half <= 2 || 2 * half - full <= 2);
  cr_assert(owners == MaglevAlgorithm::Assign(shares, kBuckets));
}

Test(bucket_table, maglev_fills_any_bucket_count) {
  for (const auto buckets : {1U, 2U, 7U, 512U, 1000U, 65537U}) {
    const auto owners = MaglevAlgorithm::Assign(MakeShares(5), buckets);
    cr_assert_eq(CountOf(owners, kNoOwner), 0U);
  }
}

Test(bucket_table, maglev_moves_few_extra_buckets) {
  const auto shares = MakeShares(14);
  auto fewer = shares;
  fewer.pop_back();
  const auto before = MaglevAlgorithm::Assign(shares, kBuckets);
  const auto after = MaglevAlgorithm::Assign(fewer, kBuckets);
  auto moved = std::size_t{0};
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    moved += before[bucket] == after[bucket] ? 0 : 1;
  }
  cr_assert(moved < 2 * CountOf(before, 13));
}

Test(bucket_table, rendezvous_moves_only_buckets_of_the_removed_endpoint) {
  const auto shares = MakeShares(14);
  auto fewer = shares;
  fewer.pop_back();
  const auto before = RendezvousAlgorithm::Assign(shares, kBuckets);
  const auto after = RendezvousAlgorithm::Assign(fewer, kBuckets);
  for (std::uint32_t bucket = 0; bucket < kBuckets; ++bucket) {
    cr_assert(before[bucket] == after[bucket] || before[bucket] == 13);
  }
}

Test(bucket_table, without_endpoints_there_is_no_owner) {
  const auto owners = MaglevAlgorithm::Assign({}, kBuckets);
  cr_assert_eq(CountOf(owners, kNoOwner), kBuckets);
  cr_assert_eq(RendezvousOwner({}, 1), kNoOwner);
}

}  // namespace
}  // namespace hemlockwick
