#include "Request/request_state.h"

namespace hemlockwick {

auto RequestState::OnClaimGranted() -> bool {
  if (phase_ != RequestPhase::kClaiming) {
    return false;
  }
  phase_ = RequestPhase::kWaiting;
  return true;
}

auto RequestState::Dispatch() -> std::uint32_t {
  if (phase_ != RequestPhase::kWaiting) {
    return 0;
  }
  phase_ = RequestPhase::kDispatched;
  return ++attempt_;
}

auto RequestState::ConfirmSend(std::uint32_t attempt) -> bool {
  if (phase_ != RequestPhase::kDispatched || attempt != attempt_) {
    return false;
  }
  phase_ = RequestPhase::kSent;
  return true;
}

auto RequestState::Withdraw(std::uint32_t attempt) -> bool {
  if (phase_ != RequestPhase::kDispatched || attempt != attempt_) {
    return false;
  }
  phase_ = RequestPhase::kWaiting;
  return true;
}

auto RequestState::OnResult(std::uint32_t attempt, AttemptOutcome outcome)
    -> AttemptDecision {
  if (!InFlight() || attempt != attempt_) {
    return AttemptDecision::kStale;
  }
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      phase_ = RequestPhase::kAnswered;
      return AttemptDecision::kDeliver;
    case AttemptOutcome::kShed:
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kCancelled:
      phase_ = RequestPhase::kWaiting;
      return AttemptDecision::kMayRetry;
    case AttemptOutcome::kLost:
      break;
  }
  may_have_run_ = true;
  if (idempotent_) {
    phase_ = RequestPhase::kWaiting;
    return AttemptDecision::kMayRetry;
  }
  phase_ = RequestPhase::kUnknown;
  return AttemptDecision::kUnknown;
}

auto RequestState::Refuse(RefusalReason reason) -> RefusalReason {
  const auto may_run = may_have_run_ || phase_ == RequestPhase::kSent;
  if (may_run || !IsNotRun(reason)) {
    phase_ = RequestPhase::kUnknown;
    return may_run ? RefusalReason::kOutcomeUnknown : reason;
  }
  phase_ = RequestPhase::kNotRun;
  return reason;
}

}  // namespace hemlockwick
