#include "Flow/flow_types.h"

namespace hemlockwick {

auto ToString(DropReason reason) -> std::string_view {
  switch (reason) {
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kUnknownService:
      return "unknown_service";
    case DropReason::kNoEndpoint:
      return "no_endpoint";
    case DropReason::kLoop:
      return "loop";
    case DropReason::kQuarantined:
      return "quarantined";
    case DropReason::kOverLimit:
      return "over_limit";
    case DropReason::kNotReady:
      return "not_ready";
    case DropReason::kUnknownEndpoint:
      return "unknown_endpoint";
    case DropReason::kForeignEndpoint:
      return "foreign_endpoint";
  }
  return "unknown";
}

}  // namespace hemlockwick
