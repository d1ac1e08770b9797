#ifndef HEMLOCKWICK_REQUEST_REQUEST_MESSAGE_H_
#define HEMLOCKWICK_REQUEST_REQUEST_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/error.h"
#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// Where an Idempotency-Key stands at its home.
enum class KeyState : std::uint8_t {
  kFree,      // Never claimed: the claimant now holds it.
  kNotRun,    // An earlier attempt ended as not run: the claimant holds it.
  kRunning,   // Another attempt is in progress.
  kAnswered,  // It ran and its answer was delivered.
  kUnknown,   // It may have run.
  // The home noted the claim but cannot exclude an earlier one: it is too
  // young, was suspended, or is no home by its own view. Grants nothing.
  kAbstained,
  // Never claimed, but the home has no room and noted nothing.
  kRefused,
};

// Claims a key at its home before the request's first byte leaves.
struct KeyClaim {
  IdempotencyKey key;
  RequestId request;
  TimePoint deadline;
  // Longest time from a claim until its key may be forgotten: the contract's
  // largest deadline and its key memory.
  Duration memory{0};
};

struct KeyVerdict {
  IdempotencyKey key;
  RequestId request;
  KeyState state = KeyState::kUnknown;
};

// Tells the home how the claimed request ended.
struct KeySettled {
  IdempotencyKey key;
  RequestId request;
  KeyState state = KeyState::kUnknown;
};

// Keys of a leaving home for the next one.
struct KeyHandOver {
  struct Entry {
    IdempotencyKey key;
    InstanceId claimant;
    RequestId request;
    KeyState state = KeyState::kUnknown;
    TimePoint deadline;
    TimePoint expires;
  };
  std::vector<Entry> entries;
  // Since when the sender has noted every claim of its keys.
  TimePoint knows_since;
  // A hand-over may take several messages; it counts when all have arrived.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
};

// Demand of one service at the sender, for the shared rate limit and slots.
struct DemandReport {
  struct Entry {
    ServiceId service;
    std::uint32_t arrivals_per_second = 0;
    std::uint32_t queued = 0;
    std::uint32_t in_flight = 0;
  };
  std::vector<Entry> entries;
};

using RequestMessage =
    std::variant<KeyClaim, KeyVerdict, KeySettled, KeyHandOver, DemandReport>;

// JSON text of a message, and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto Encode(const RequestMessage& message) -> std::string;
[[nodiscard]] auto DecodeRequestMessage(std::string_view text)
    -> Result<RequestMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_MESSAGE_H_
