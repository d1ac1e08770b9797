#ifndef HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_
#define HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/error.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Fleet/member_view.h"

namespace hemlockwick {

// What an instance says about one member.
struct MemberUpdate {
  Member member;
};

// Asks the receiver to answer at once; carries recent member updates and the
// sender's configuration version.
struct Probe {
  std::uint64_t sequence = 0;
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
};

struct ProbeAck {
  std::uint64_t sequence = 0;
  Version version;
  Digest digest;
  std::vector<MemberUpdate> updates;
};

// Asks the receiver to probe `target` on the sender's behalf.
struct ProbeRequest {
  std::uint64_t sequence = 0;
  InstanceId target;
};

// Asks for the index body and the shards whose keys are listed.
struct ConfigFetch {
  Version at_least;
  std::vector<std::string> shard_keys;
};

// Bodies as they were read from the platform.
struct ConfigOffer {
  std::string index_body;
  std::vector<std::string> shard_bodies;
};

using FleetMessage =
    std::variant<Probe, ProbeAck, ProbeRequest, ConfigFetch, ConfigOffer>;

// JSON text of a message, and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto Encode(const FleetMessage& message) -> std::string;
[[nodiscard]] auto DecodeFleetMessage(std::string_view text)
    -> Result<FleetMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_FLEET_MESSAGE_H_
