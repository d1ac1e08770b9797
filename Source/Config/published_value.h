#ifndef HEMLOCKWICK_CONFIG_PUBLISHED_VALUE_H_
#define HEMLOCKWICK_CONFIG_PUBLISHED_VALUE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/error.h"
#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// Key of the index value on the platform.
inline constexpr std::string_view kIndexKey = "hemlockwick/index";

// Largest value that the platform holds, in bytes.
inline constexpr std::size_t kMaxValueBytes = 1'000'000;

// A key and value as the operator publishes them on the platform.
struct PublishedValue {
  std::string key;
  std::string body;
};

// Names a shard by its key and content hash. A shard's key contains its
// digest, so a shard value never changes and unchanged shards are shared by
// successive versions.
struct ShardRef {
  std::string key;
  Digest digest;

  friend auto operator==(const ShardRef&, const ShardRef&) -> bool = default;
};

// The value under kIndexKey: one version and the shards that make it up.
struct PublishedIndex {
  Version version;
  Digest digest;  // Over all fields but itself.
  TimePoint published;
  std::vector<DataCentre> data_centres;
  std::vector<ShardRef> shards;
};

// The services of one shard.
struct ConfigShard {
  Digest digest;
  std::vector<std::shared_ptr<const Service>> services;
};

// Splits a configuration into values below kMaxValueBytes: shards first, the
// index last, in the order in which they have to be written.
[[nodiscard]] auto EncodeFleetConfig(const FleetConfig& config)
    -> std::vector<PublishedValue>;

[[nodiscard]] auto EncodeIndex(const PublishedIndex& index) -> std::string;

// Both decoders verify the digest and fail with kInvalidArgument.
[[nodiscard]] auto DecodeIndex(std::string_view body) -> Result<PublishedIndex>;
[[nodiscard]] auto DecodeShard(std::string_view body)
    -> Result<std::shared_ptr<const ConfigShard>>;

// Joins an index and its shards, checks the whole set again and fails with
// kRefused, listing every finding, when it is not consistent.
[[nodiscard]] auto AssembleFleetConfig(
    const PublishedIndex& index,
    const std::vector<std::shared_ptr<const ConfigShard>>& shards)
    -> Result<std::shared_ptr<const FleetConfig>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_PUBLISHED_VALUE_H_
