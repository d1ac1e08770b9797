#ifndef HEMLOCKWICK_EDGE_RELAY_CODEC_H_
#define HEMLOCKWICK_EDGE_RELAY_CODEC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/time.h"
#include "Edge/directory_sync.h"

namespace hemlockwick {

// Answers of a relay to edge processes: directory updates in CBOR, sent over
// HTTP.

// State of a relay, sent with each update.
struct RelayState {
  DataCentreId data_centre;
  Duration age{0};  // Since the platform's last answer.
  std::optional<Duration> since_outage;
  std::vector<SharedSuspect> suspects;
  RelayAdvice advice;
  std::optional<SharedSpeeds> speeds{};
  std::optional<std::uint32_t> instances{};  // Of the fleet; nullopt: unknown.
};

// Encodes an update. Routes are sent as the difference from `base`, the routes
// that the receiver holds, or completely when that is null.
[[nodiscard]] auto EncodeUpdate(const DirectoryUpdate& update,
                                const RelayState& state, const RouteSet* base,
                                TimePoint now) -> std::string;

// Decodes an update for a receiver that holds the routes `base`, which may be
// null. Fails with kInvalidArgument when the body is malformed or its routes
// are a difference from others.
[[nodiscard]] auto DecodeUpdate(std::string_view body, const RouteSet* base,
                                TimePoint now) -> Result<SyncAnswer>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_CODEC_H_
