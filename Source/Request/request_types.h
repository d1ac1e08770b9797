#ifndef HEMLOCKWICK_REQUEST_REQUEST_TYPES_H_
#define HEMLOCKWICK_REQUEST_REQUEST_TYPES_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// A request as its headers describe it.
struct RequestArrival {
  RequestId request;
  ServiceId service;
  CallerId caller;
  bool idempotent = false;
  std::optional<IdempotencyKey> key;
  std::uint64_t body_bytes = 0;  // Declared length.
  TimePoint arrived;
  TimePoint deadline;
  // Arrival of the first attempt of the caller, if a verified ticket for its
  // place in the queue states it.
  std::optional<TimePoint> first_arrived;
};

// How an attempt at an endpoint ended.
enum class AttemptOutcome {
  kAnswered,   // A complete answer arrived.
  kShed,       // The endpoint reported that it did not run the request.
  kNotSent,    // The connection failed before any byte was sent.
  kLost,       // Bytes were sent and no complete answer arrived.
  kCancelled,  // The endpoint confirmed the cancellation before it ran.
};

// Load that an endpoint reports about itself, with an answer or in a separate
// report.
struct EndpointLoad {
  EndpointId endpoint;
  double utilization = 0;  // Busy slots divided by slots.
  std::uint32_t queued = 0;
  TimePoint measured;
};

struct AttemptResult {
  RequestId request;
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  AttemptOutcome outcome = AttemptOutcome::kLost;
  std::optional<EndpointLoad> load;
};

// Why a request did not get an endpoint's answer.
enum class RefusalReason : std::uint8_t {
  kUnknownService,
  kQueueFull,
  kDeadline,  // Its deadline has passed or cannot be met.
  kRateLimit,
  kNoEndpoint,
  kStopping,        // The instance is leaving.
  kAttemptsSpent,   // No attempt ran, and no other is allowed.
  kInProgress,      // A request with the same key is in progress.
  kOutcomeUnknown,  // It may have run; it is not sent again.
};

// Name of the reason as it appears in answers and metrics.
[[nodiscard]] auto ToString(RefusalReason reason) -> std::string_view;

// Whether the refusal states that the request was not run.
[[nodiscard]] constexpr auto IsNotRun(RefusalReason reason) -> bool {
  return reason != RefusalReason::kOutcomeUnknown &&
         reason != RefusalReason::kInProgress;
}

// Send the request to an endpoint.
struct DispatchRequest {
  RequestId request;
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  SocketAddress address;
  TimePoint deadline;
};
// Give the caller its final refusal.
struct RefuseRequest {
  RequestId request;
  RefusalReason reason = RefusalReason::kNoEndpoint;
  Duration retry_after{0};
};
// Pass the endpoint's answer on to the caller.
struct DeliverAnswer {
  RequestId request;
  std::uint32_t attempt = 0;
};
// Tell the endpoint that the answer is no longer wanted.
struct CancelAttempt {
  RequestId request;
  std::uint32_t attempt = 0;
  EndpointId endpoint;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_TYPES_H_
