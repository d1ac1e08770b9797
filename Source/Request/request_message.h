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

// State of an Idempotency-Key at a home, an instance that stores its claims.
enum class KeyState : std::uint8_t {
  kFree,      // Never claimed: the claimant now holds it.
  kNotRun,    // An earlier attempt ended as not run: the claimant holds it.
  kRunning,   // Another attempt is in progress.
  kAnswered,  // It ran and its answer was delivered.
  kUnknown,   // It may have run.
  // The home recorded the claim but cannot rule out an earlier one: it started
  // too recently, was suspended, or is not a home in its own view. Grants
  // nothing.
  kAbstained,
  // Never claimed, but the home is full and recorded nothing.
  kRefused,
};

// Claims a key at a home before the first byte of the request is sent.
struct KeyClaim {
  IdempotencyKey key;
  RequestId request;
  TimePoint deadline;
  // Time from the claim until its key may be forgotten: the largest deadline of
  // the contract plus its key memory.
  Duration memory{0};
};

// Answer of a home to a claim. Also the decision on a claim as a whole.
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

// Keys that a leaving home hands over to their next home.
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
  // Time since which the sender has recorded every claim of its keys.
  TimePoint knows_since;
  // Index of this message and number of messages of the hand-over, which takes
  // effect when all have arrived.
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
};

// Demand for each service at the sender, for the shared rate limit and slots.
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

// Converts a message to JSON text and back. Decoding fails with
// kInvalidArgument.
[[nodiscard]] auto Encode(const RequestMessage& message) -> std::string;
[[nodiscard]] auto DecodeRequestMessage(std::string_view text)
    -> Result<RequestMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_MESSAGE_H_
