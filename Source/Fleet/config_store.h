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

// Versions from which a difference to the accepted one can be given.
inline constexpr std::size_t kKeptVersions = 16;

// A shard as it was read, and what it holds.
struct StoredShard {
  std::string body;
  std::shared_ptr<const ConfigShard> shard;
};

// The accepted configuration with its bodies, and the one that is being
// fetched. Versions only rise.
class ConfigStore {
 public:
  // Starts to put a candidate together. The index must be of a higher version
  // than the accepted one and than any earlier candidate.
  void BeginCandidate(std::string index_body, PublishedIndex index);

  // Makes a candidate out of a kept version and a difference from it. Fails
  // with kNotFound when the base is not kept, kInvalidArgument when the result
  // does not have the digests that it states.
  auto BeginCandidate(const ConfigDelta& delta) -> Result<void>;

  // Takes a shard of the candidate; others are ignored. Fails with
  // kInvalidArgument when the body is not a shard.
  auto AddShard(const std::string& body) -> Result<void>;

  // Keys of the candidate's shards that are still missing.
  [[nodiscard]] auto MissingKeys() const -> std::vector<std::string>;

  [[nodiscard]] auto candidate() const -> const std::optional<PublishedIndex>& {
    return candidate_;
  }
  void DropCandidate() { candidate_.reset(); }

  // Checks the complete candidate as a whole and makes it the accepted
  // configuration. Drops it and fails with kRefused when it is not consistent.
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

  // Answers a peer: the difference from what it has, the whole index, or the
  // shards that it asks for up to `limit` bytes.
  [[nodiscard]] auto MakeOffer(const ConfigFetch& fetch, std::size_t limit)
      -> ConfigOffer;

 private:
  using ShardMap = std::map<std::string, std::shared_ptr<const StoredShard>>;

  struct KeptVersion {
    PublishedIndex index;
    ShardMap shards;  // Those that the next version no longer has.
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

  // The last difference made, since most peers ask for the same.
  Version offered_base_;
  std::optional<ConfigOffer> offered_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_CONFIG_STORE_H_
