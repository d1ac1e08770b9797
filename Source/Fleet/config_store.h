#ifndef HEMLOCKWICK_FLEET_CONFIG_STORE_H_
#define HEMLOCKWICK_FLEET_CONFIG_STORE_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Config/published_value.h"
#include "Core/error.h"
#include "Fleet/fleet_message.h"

namespace hemlockwick {

// Earlier versions kept as possible bases of a delta to the accepted version.
inline constexpr std::size_t kKeptVersions = 16;

// A shard's body as received, with its decoded content.
struct StoredShard {
  std::string body;
  std::shared_ptr<const ConfigShard> shard;
};

// The accepted configuration with its encoded bodies, and the candidate that is
// being fetched. Versions only increase.
class ConfigStore {
 public:
  // Starts a new candidate. The index must have a higher version than the
  // accepted configuration and every earlier candidate.
  void BeginCandidate(std::string index_body, PublishedIndex index);

  // Builds a candidate from a kept version and a delta. Fails with kNotFound
  // when the base is not kept, and with kInvalidArgument when the delta does
  // not match its base or a patch cannot be applied.
  auto BeginCandidate(const ConfigDelta& delta) -> Result<void>;

  // Adds a shard to the candidate; shards that the candidate does not contain
  // are ignored. Fails with kInvalidArgument when the body is not a shard.
  auto AddShard(const std::string& body) -> Result<void>;

  // Keys of the candidate's shards that are still missing.
  [[nodiscard]] auto MissingKeys() const -> std::vector<std::string>;

  [[nodiscard]] auto candidate() const -> const std::optional<PublishedIndex>& {
    return candidate_;
  }
  void DropCandidate() { candidate_.reset(); }

  // Checks the complete candidate and makes it the accepted configuration.
  // Drops the candidate and fails with kRefused when it is inconsistent.
  auto AcceptCandidate() -> Result<void>;

  // The accepted configuration; null before the first.
  [[nodiscard]] auto config() const -> std::shared_ptr<const FleetConfig> {
    return config_;
  }
  [[nodiscard]] auto version() const -> Version {
    return config_ == nullptr ? Version() : config_->version;
  }
  [[nodiscard]] auto digest() const -> Digest {
    return config_ == nullptr ? Digest() : config_->digest;
  }

  // Returns the answer to a peer's fetch. With shard keys: the bodies of those
  // shards up to `limit` bytes, at least one. Otherwise a delta from the peer's
  // version, or the full index when no delta can be made.
  [[nodiscard]] auto MakeOffer(const ConfigFetch& fetch, std::size_t limit)
      -> ConfigOffer;

 private:
  using ShardMap = std::map<std::string, std::shared_ptr<const StoredShard>>;

  struct KeptVersion {
    PublishedIndex index;
    ShardMap shards;  // Shards that the next version no longer has.
  };

  [[nodiscard]] auto FindIndex(Version version, Digest digest) const
      -> const PublishedIndex*;
  [[nodiscard]] auto FindShard(const std::string& key) const
      -> std::shared_ptr<const StoredShard>;
  [[nodiscard]] auto MakeDelta(const PublishedIndex& base) const
      -> std::optional<ConfigOffer>;
  void MakePatches(const ShardSplice& splice, const PublishedIndex& base,
                   ConfigOffer& offer) const;
  void KeepSuperseded(ShardMap previous);

  std::shared_ptr<const FleetConfig> config_;
  std::string index_body_;
  PublishedIndex index_;
  ShardMap shards_;
  std::deque<KeptVersion> kept_;  // Newest first.

  std::optional<PublishedIndex> candidate_;
  std::string candidate_body_;
  ShardMap candidate_shards_;

  // The last delta made, with the version of its base. Cached because most
  // peers request the same delta.
  Version offered_base_;
  std::optional<ConfigOffer> offered_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_CONFIG_STORE_H_
