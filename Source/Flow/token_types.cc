#include "Flow/token_types.h"

namespace hemlockwick {

auto ToString(ResetReason reason) -> std::string_view {
  switch (reason) {
    case ResetReason::kNoRoute:
      return "no_route";
    case ResetReason::kDeparted:
      return "endpoint_departed";
    case ResetReason::kSilent:
      return "endpoint_silent";
    case ResetReason::kUnknown:
      return "endpoint_unknown";
    case ResetReason::kNoEndpoint:
      return "no_endpoint";
    case ResetReason::kEvacuated:
      return "evacuated";
    case ResetReason::kColdEndpoints:
      return "cold_endpoints";
  }
  return "unknown";
}

auto ToString(RouterEvent::Kind kind) -> std::string_view {
  switch (kind) {
    case RouterEvent::Kind::kFlowOpened:
      return "flow_opened";
    case RouterEvent::Kind::kFlowReset:
      return "flow_reset";
    case RouterEvent::Kind::kPacketDropped:
      return "packet_dropped";
    case RouterEvent::Kind::kTokenChanged:
      return "flow_token_changed";
    case RouterEvent::Kind::kTokenCorrected:
      return "flow_token_corrected";
    case RouterEvent::Kind::kOpeningMoved:
      return "opening_moved";
    case RouterEvent::Kind::kEndpointSuspected:
      return "endpoint_suspected";
    case RouterEvent::Kind::kEndpointSilent:
      return "endpoint_silent";
    case RouterEvent::Kind::kEndpointAlive:
      return "endpoint_alive";
    case RouterEvent::Kind::kEndpointFailing:
      return "endpoint_failing";
    case RouterEvent::Kind::kRequestUnanswered:
      return "request_unanswered";
    case RouterEvent::Kind::kRequestAnswered:
      return "request_answered";
    case RouterEvent::Kind::kSuspended:
      return "process_suspended";
    case RouterEvent::Kind::kDelayed:
      return "process_delayed";
  }
  return "unknown";
}

}  // namespace hemlockwick
