#ifndef HEMLOCKWICK_REQUEST_REQUEST_STATE_H_
#define HEMLOCKWICK_REQUEST_REQUEST_STATE_H_

#include <cstdint>

#include "Request/request_types.h"

namespace hemlockwick {

// Phase of a request between its arrival and its final answer.
enum class RequestPhase : std::uint8_t {
  kClaiming,    // Its Idempotency-Key is being claimed.
  kWaiting,     // No attempt is in flight.
  kDispatched,  // An attempt has begun; no byte was sent.
  kSent,        // A byte of the attempt may have been sent.
  kAnswered,    // Final: the answer was delivered.
  kNotRun,      // Final: refused, and no endpoint ran it.
  kUnknown,     // Final: an endpoint may have run it.
};

// What to do after the result of an attempt.
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

  // Records that the key is held, so that the request may be dispatched.
  // Returns false in any other phase than kClaiming.
  auto OnClaimGranted() -> bool;

  // Begins an attempt. Returns its number, counted from 1, or 0 if none may
  // begin.
  auto Dispatch() -> std::uint32_t;

  // Records that the first byte is about to be sent. Returns false if the
  // attempt is not the one that was dispatched last or was sent already.
  auto ConfirmSend(std::uint32_t attempt) -> bool;

  // Withdraws an attempt of which no byte was sent. Returns false for any other
  // attempt.
  auto Withdraw(std::uint32_t attempt) -> bool;

  // Applies the result of an attempt.
  auto OnResult(std::uint32_t attempt, AttemptOutcome outcome)
      -> AttemptDecision;

  // Ends the request without an answer. Returns `reason`, or kOutcomeUnknown if
  // the request may have run.
  auto Refuse(RefusalReason reason) -> RefusalReason;

  [[nodiscard]] auto phase() const -> RequestPhase { return phase_; }
  [[nodiscard]] auto attempt() const -> std::uint32_t { return attempt_; }

  // Whether an attempt is at an endpoint or about to be sent.
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
