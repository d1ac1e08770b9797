#include "Request/request_types.h"

namespace hemlockwick {

auto ToString(RefusalReason reason) -> std::string_view {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return "unknown_service";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kDeadline:
      return "deadline";
    case RefusalReason::kRateLimit:
      return "rate_limit";
    case RefusalReason::kNoEndpoint:
      return "no_endpoint";
    case RefusalReason::kStopping:
      return "stopping";
    case RefusalReason::kAttemptsSpent:
      return "attempts_spent";
    case RefusalReason::kInProgress:
      return "in_progress";
    case RefusalReason::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "unknown";
}

}  // namespace hemlockwick
