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

// Identifies a shard by its key and content digest. The key contains the
// digest, so a shard value never changes and successive versions share
// unchanged shards.
struct ShardRef {
  std::string key;
  Digest digest;

  friend auto operator==(const ShardRef&, const ShardRef&) -> bool = default;
};

// The value under kIndexKey: one version and the shards that make it up.
struct PublishedIndex {
  Version version;
  Digest digest;  // Digest of all other fields.
  TimePoint published;
  std::vector<DataCentre> data_centres;
  std::vector<ShardRef> shards;
};

// The services of one shard.
struct ConfigShard {
  Digest digest;
  std::vector<std::shared_ptr<const Service>> services;
};

// Encodes a configuration as shards followed by the index, in the order in
// which they have to be written. The caller has to compare the sizes with
// kMaxValueBytes.
[[nodiscard]] auto EncodeFleetConfig(const FleetConfig& config)
    -> std::vector<PublishedValue>;

[[nodiscard]] auto EncodeIndex(const PublishedIndex& index) -> std::string;

// Both decoders verify the digest. They fail with kInvalidArgument if it does
// not match or the value is malformed.
[[nodiscard]] auto DecodeIndex(std::string_view body) -> Result<PublishedIndex>;
[[nodiscard]] auto DecodeShard(std::string_view body)
    -> Result<std::shared_ptr<const ConfigShard>>;

// Builds a configuration from an index and its shards. Fails with kRefused if
// the shards are not those of the index, or if the configuration is not
// consistent; the error then lists every finding.
[[nodiscard]] auto AssembleFleetConfig(
    const PublishedIndex& index,
    const std::vector<std::shared_ptr<const ConfigShard>>& shards)
    -> Result<std::shared_ptr<const FleetConfig>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_PUBLISHED_VALUE_H_
