#ifndef HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_
#define HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Config/published_value.h"
#include "Core/error.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Timeline/event.h"

namespace hemlockwick {

// What an instance says about one member.
struct MemberUpdate {
  Member member;
  // Whether the platform's instance list has named the member.
  bool listed = false;
};

// Asks the receiver to answer at once; carries recent member updates and the
// sender's configuration version.
struct Probe {
  std::uint64_t sequence = 0;
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
  HlcStamp stamp;
  // Hash over the members of the sender's ring.
  std::uint64_t member_digest = 0;
  // Time since an instance of the sender's data centre last had an answer of
  // the platform, as far as the sender has heard.
  Duration platform_age{0};
};

struct ProbeAck {
  std::uint64_t sequence = 0;
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
  HlcStamp stamp;
  Duration platform_age{0};
};

// Asks the receiver to probe `target` on the sender's behalf. A live target
// raises its incarnation above `incarnation`.
struct ProbeRequest {
  std::uint64_t sequence = 0;
  InstanceId target;
  std::uint64_t incarnation = 0;
};

// Asks for the index body and the shards whose keys are listed. Without keys
// it asks for the difference from the version that the sender has.
struct ConfigFetch {
  Version at_least;
  std::vector<std::string> shard_keys;
  Version have_version;
  Digest have_digest;
};

// A shard as a JSON patch (RFC 6902) of another shard's body.
struct ShardPatch {
  std::string base_key;
  std::string patch;
};

// Replaces `removed` shards of an index from `position` on by `added`.
struct ShardSplice {
  std::size_t position = 0;
  std::size_t removed = 0;
  std::vector<ShardRef> added;
};

// What has to be done to one version to get another one that has the same data
// centres.
struct ConfigDelta {
  Version base_version;
  Digest base_digest;
  Version version;
  TimePoint published;
  std::vector<ShardSplice> splices;  // Positions are those of the base.
  std::vector<ShardPatch> patches;
};

// Bodies as they were read from the platform, or the difference from a version
// that the receiver has. Shards that no patch makes are in
// `shard_bodies`.
struct ConfigOffer {
  std::string index_body;
  std::vector<std::string> shard_bodies;
  std::optional<ConfigDelta> delta;
};

// A heartbeat or news, not answered when the receiver has nothing newer.
struct Gossip {
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
  HlcStamp stamp;
  std::uint64_t member_digest = 0;
  Duration platform_age{0};
};

using FleetMessage = std::variant<Probe, ProbeAck, ProbeRequest, ConfigFetch,
                                  ConfigOffer, Gossip>;

// JSON text of a message, and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto Encode(const FleetMessage& message) -> std::string;
[[nodiscard]] auto DecodeFleetMessage(std::string_view text)
    -> Result<FleetMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_
