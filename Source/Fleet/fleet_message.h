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

// One instance's claim about one member.
struct MemberUpdate {
  Member member;
  // Whether the member has appeared in the platform's instance list.
  bool listed = false;
};

// A probe of the failure detector, answered at once with a ProbeAck. Carries
// recent member updates and the sender's configuration version.
struct Probe {
  std::uint64_t sequence = 0;
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
  HlcStamp stamp;
  // Digest of the members of the sender's ring.
  std::uint64_t member_digest = 0;
  // Time since the platform last answered an instance of the sender's data
  // centre, as far as the sender knows.
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

// Asks the receiver to probe `target` on behalf of the sender (indirect probe).
// A live target raises its incarnation above `incarnation`.
struct ProbeRequest {
  std::uint64_t sequence = 0;
  InstanceId target;
  std::uint64_t incarnation = 0;
};

// Requests the shards whose keys are listed. Without keys it requests a delta
// from the version that the sender has, or the full index. Receivers with a
// version below `at_least` do not answer.
struct ConfigFetch {
  Version at_least;
  std::vector<std::string> shard_keys;
  Version have_version;
  Digest have_digest;
};

// A shard expressed as a JSON patch (RFC 6902) of another shard's body.
struct ShardPatch {
  std::string base_key;
  std::string patch;
};

// Replaces `removed` shards of an index, starting at `position`, by `added`.
struct ShardSplice {
  std::size_t position = 0;
  std::size_t removed = 0;
  std::vector<ShardRef> added;
};

// The changes from one configuration version to another that has the same data
// centres.
struct ConfigDelta {
  Version base_version;
  Digest base_digest;
  Version version;
  TimePoint published;
  std::vector<ShardSplice> splices;  // Positions refer to the base.
  std::vector<ShardPatch> patches;
};

// The answer to a ConfigFetch: bodies as read from the platform, or a delta
// from the receiver's version. With a delta, `shard_bodies` has the new shards
// for which there is no patch.
struct ConfigOffer {
  std::string index_body;
  std::vector<std::string> shard_bodies;
  std::optional<ConfigDelta> delta;
};

// A heartbeat or a gossip message. The receiver answers only when it has a
// newer configuration version or its ring digest differs repeatedly.
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

// Converts a message to JSON and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto Encode(const FleetMessage& message) -> std::string;
[[nodiscard]] auto DecodeFleetMessage(std::string_view text)
    -> Result<FleetMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_
