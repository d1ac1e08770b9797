#ifndef HEMLOCKWICK_CONFIG_SHARD_SPLIT_H_
#define HEMLOCKWICK_CONFIG_SHARD_SPLIT_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "Config/fleet_config.h"

namespace hemlockwick {

// Shards larger than this are split in two, unless they hold a single service.
inline constexpr std::size_t kTargetShardBytes = 16'000;

// Splits services, sorted by id, into shards: each holds the services whose
// ids share a prefix, and a change of one service changes one shard, or two
// when a shard splits. Returns the text of each shard's services, a JSON array.
[[nodiscard]] auto SplitIntoShards(
    const std::vector<std::shared_ptr<const Service>>& services)
    -> std::vector<std::string>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_SHARD_SPLIT_H_
