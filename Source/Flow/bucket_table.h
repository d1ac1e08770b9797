#ifndef HEMLOCKWICK_FLOW_BUCKET_TABLE_H_
#define HEMLOCKWICK_FLOW_BUCKET_TABLE_H_

#include <concepts>
#include <cstdint>
#include <span>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"

namespace hemlockwick {

// Index of an endpoint in the endpoint list of a table.
using OwnerIndex = std::uint16_t;

// Owner of a bucket that no endpoint owns.
inline constexpr OwnerIndex kNoOwner = 0xFFFF;

// An endpoint and the weight of its share of the buckets.
struct BucketShare {
  EndpointId endpoint;
  std::uint32_t weight = 0;

  friend auto operator==(const BucketShare&, const BucketShare&)
      -> bool = default;
};

// Assigns `bucket_count` buckets to `shares`. A pure function: the same shares
// in the same order give the same owners on every instance.
template <typename T>
concept TableAlgorithm = requires(std::span<const BucketShare> shares,
                                  std::uint32_t bucket_count) {
  { T::Assign(shares, bucket_count) } -> std::same_as<std::vector<OwnerIndex>>;
};

// Maglev hashing: endpoints take turns to claim the next free bucket of their
// own permutation. Bucket counts follow the weights to within one bucket.
struct MaglevAlgorithm {
  [[nodiscard]] static auto Assign(std::span<const BucketShare> shares,
                                   std::uint32_t bucket_count)
      -> std::vector<OwnerIndex>;
};

// Weighted rendezvous hashing: every bucket goes to the endpoint with the
// highest score. Moves the fewest buckets, at the cost of balance.
struct RendezvousAlgorithm {
  [[nodiscard]] static auto Assign(std::span<const BucketShare> shares,
                                   std::uint32_t bucket_count)
      -> std::vector<OwnerIndex>;
};

// Index of the share with the highest weighted score for `key`; kNoOwner when
// no share has a positive weight.
[[nodiscard]] auto RendezvousOwner(std::span<const BucketShare> shares,
                                   std::uint64_t key) -> OwnerIndex;

// The endpoints of a service that accept new flows, sorted by id.
[[nodiscard]] auto SharesOf(const Service& service) -> std::vector<BucketShare>;
[[nodiscard]] auto SharesOf(const EndpointSet& set) -> std::vector<BucketShare>;

// Number of buckets of a service; kDefaultBucketCount if it configures none.
inline constexpr std::uint32_t kDefaultBucketCount = 2048;
[[nodiscard]] auto BucketCountOf(const Service& service) -> std::uint32_t;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_BUCKET_TABLE_H_
