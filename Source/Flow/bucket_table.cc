#include "Flow/bucket_table.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <limits>
#include <numeric>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr std::uint64_t kOffsetSeed = 0x6F666673;
constexpr std::uint64_t kSkipSeed = 0x736B6970;

static_assert(TableAlgorithm<MaglevAlgorithm>);
static_assert(TableAlgorithm<RendezvousAlgorithm>);

// The order in which one endpoint claims buckets.
struct Permutation {
  std::uint32_t next = 0;
  std::uint32_t skip = 1;
  std::uint64_t credit = 0;
};

auto MakePermutation(EndpointId endpoint, std::uint32_t bucket_count)
    -> Permutation {
  auto permutation = Permutation();
  permutation.next = static_cast<std::uint32_t>(
      MixWords(endpoint.value(), kOffsetSeed) % bucket_count);
  permutation.skip = static_cast<std::uint32_t>(
      MixWords(endpoint.value(), kSkipSeed) % bucket_count);
  while (std::gcd(permutation.skip, bucket_count) != 1) {
    ++permutation.skip;
  }
  permutation.skip %= bucket_count;
  return permutation;
}

void ClaimNext(Permutation& permutation, OwnerIndex owner,
               std::vector<OwnerIndex>& owners) {
  const auto count = static_cast<std::uint32_t>(owners.size());
  const auto advance = [&permutation, count] {
    const auto next =
        static_cast<std::uint64_t>(permutation.next) + permutation.skip;
    permutation.next = static_cast<std::uint32_t>(next % count);
  };
  while (owners[permutation.next] != kNoOwner) {
    advance();
  }
  owners[permutation.next] = owner;
  advance();
}

auto MaxWeight(std::span<const BucketShare> shares) -> std::uint32_t {
  auto heaviest = std::uint32_t{0};
  for (const auto& share : shares) {
    heaviest = std::max(heaviest, share.weight);
  }
  return heaviest;
}

// Maps a hash to a number in (0, 1).
auto UnitFromHash(std::uint64_t hash) -> double {
  constexpr auto kMantissaBits = 53;
  constexpr auto kDropBits = 64 - kMantissaBits;
  const auto top = static_cast<double>(hash >> kDropBits);
  return (top + 0.5) / static_cast<double>(std::uint64_t{1} << kMantissaBits);
}

template <typename Endpoints, typename Weight>
auto CollectShares(const Endpoints& endpoints, Weight weight_of)
    -> std::vector<BucketShare> {
  auto shares = std::vector<BucketShare>();
  for (const auto& endpoint : endpoints) {
    const auto weight = weight_of(endpoint);
    if (weight > 0) {
      shares.push_back({endpoint.id, weight});
    }
  }
  std::sort(shares.begin(), shares.end(), [](const auto& a, const auto& b) {
    return a.endpoint < b.endpoint;
  });
  return shares;
}

}  // namespace

auto MaglevAlgorithm::Assign(std::span<const BucketShare> shares,
                             std::uint32_t bucket_count)
    -> std::vector<OwnerIndex> {
  auto owners = std::vector<OwnerIndex>(bucket_count, kNoOwner);
  const auto heaviest = MaxWeight(shares);
  if (heaviest == 0) {
    return owners;
  }
  auto permutations = std::vector<Permutation>();
  permutations.reserve(shares.size());
  for (const auto& share : shares) {
    permutations.push_back(MakePermutation(share.endpoint, bucket_count));
  }
  auto left = bucket_count;
  while (left > 0) {
    for (std::size_t i = 0; i < shares.size() && left > 0; ++i) {
      permutations[i].credit += shares[i].weight;
      if (permutations[i].credit < heaviest) {
        continue;
      }
      permutations[i].credit -= heaviest;
      ClaimNext(permutations[i], static_cast<OwnerIndex>(i), owners);
      --left;
    }
  }
  return owners;
}

auto RendezvousAlgorithm::Assign(std::span<const BucketShare> shares,
                                 std::uint32_t bucket_count)
    -> std::vector<OwnerIndex> {
  auto owners = std::vector<OwnerIndex>(bucket_count, kNoOwner);
  for (std::uint32_t bucket = 0; bucket < bucket_count; ++bucket) {
    owners[bucket] = RendezvousOwner(shares, bucket);
  }
  return owners;
}

auto RendezvousOwner(std::span<const BucketShare> shares, std::uint64_t key)
    -> OwnerIndex {
  auto best = kNoOwner;
  auto best_score = -std::numeric_limits<double>::infinity();
  for (std::size_t i = 0; i < shares.size(); ++i) {
    if (shares[i].weight == 0) {
      continue;
    }
    const auto unit = UnitFromHash(MixWords(shares[i].endpoint.value(), key));
    const auto score = std::log(unit) / shares[i].weight;
    if (score > best_score) {
      best_score = score;
      best = static_cast<OwnerIndex>(i);
    }
  }
  return best;
}

auto SharesOf(const Service& service) -> std::vector<BucketShare> {
  return CollectShares(service.endpoints, [](const Endpoint& endpoint) {
    const auto leaves = endpoint.state == EndpointState::kDraining;
    return leaves ? std::uint32_t{0} : endpoint.weight;
  });
}

auto SharesOf(const EndpointSet& set) -> std::vector<BucketShare> {
  return CollectShares(set.endpoints, [](const WeightedEndpoint& endpoint) {
    return endpoint.weight;
  });
}

auto BucketCountOf(const Service& service) -> std::uint32_t {
  return service.bucket_count == 0 ? kDefaultBucketCount : service.bucket_count;
}

}  // namespace hemlockwick
