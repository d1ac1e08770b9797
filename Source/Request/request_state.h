#ifndef HEMLOCKWICK_REQUEST_REQUEST_STATE_H_
#define HEMLOCKWICK_REQUEST_REQUEST_STATE_H_

#include <cstdint>

#include "Request/request_types.h"

namespace hemlockwick {

// Where a request stands between its arrival and its final answer.
enum class RequestPhase : std::uint8_t {
  kClaiming,    // Its Idempotency-Key is being claimed.
  kWaiting,     // No attempt is out.
  kDispatched,  // An attempt was chosen; no byte has left.
  kSent,        // A byte of the attempt may have left.
  kAnswered,    // Final: the answer was delivered.
  kNotRun,      // Final: refused, and no endpoint ran it.
  kUnknown,     // Final: an endpoint may have run it.
};

// What follows from the result of an attempt.
enum class AttemptDecision : std::uint8_t {
  kStale,     // Not the attempt in progress: discard the result.
  kDeliver,   // Pass the answer on.
  kMayRetry,  // Another attempt is allowed.
  kUnknown,   // It may have run and must not be sent again.
};

// State machine of one request. It alone decides whether a request may be
// sent again and whether a refusal may claim that the request was not run.
class RequestState {
 public:
  RequestState(bool idempotent, bool needs_claim)
      : idempotent_(idempotent),
        phase_(needs_claim ? RequestPhase::kClaiming : RequestPhase::kWaiting) {
  }

  // The key is held; the request may be dispatched. False in other phases.
  auto OnClaimGranted() -> bool;

  // Begins an attempt and returns its number from 1 on, or 0 when none may
  // begin.
  auto Dispatch() -> std::uint32_t;

  // The first byte is about to leave. False when the attempt is not the one
  // that was dispatched last or was sent already.
  auto ConfirmSend(std::uint32_t attempt) -> bool;

  // Takes back an attempt of which no byte has left.
  auto Withdraw(std::uint32_t attempt) -> bool;

  auto OnResult(std::uint32_t attempt, AttemptOutcome outcome)
      -> AttemptDecision;

  // Ends the request without an answer. Returns `reason`, or kOutcomeUnknown
  // where "not run" would not be true.
  auto Refuse(RefusalReason reason) -> RefusalReason;

  [[nodiscard]] auto phase() const -> RequestPhase { return phase_; }
  [[nodiscard]] auto attempt() const -> std::uint32_t { return attempt_; }

  // Whether an attempt is at an endpoint or on its way.
  [[nodiscard]] auto InFlight() const -> bool {
    return phase_ == RequestPhase::kDispatched || phase_ == RequestPhase::kSent;
  }

  [[nodiscard]] auto IsFinal() const -> bool {
    return phase_ >= RequestPhase::kAnswered;
  }

 private:
  bool idempotent_;
  bool may_have_run_ = false;
  RequestPhase phase_;
  std::uint32_t attempt_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_STATE_H_
