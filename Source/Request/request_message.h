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
  kUnknown,   // It may have run, or the home is too young to know.
};

// Claims a key at its home before the request's first byte leaves.
struct KeyClaim {
  IdempotencyKey key;
  RequestId request;
  TimePoint deadline;
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
    TimePoint expires;
  };
  std::vector<Entry> entries;
  TimePoint knows_since;
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
