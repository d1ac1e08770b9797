#ifndef HEMLOCKWICK_FLOW_TOKEN_TYPES_H_
#define HEMLOCKWICK_FLOW_TOKEN_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/flow_id.h"
#include "Flow/flow_token.h"
#include "Flow/flow_types.h"

namespace hemlockwick {

// The fields of a packet that determine where it goes, if its flow carries the
// token of its endpoint.
struct TokenPacket {
  SocketAddress caller;
  SocketAddress service;
  bool opens = false;     // Opens a flow.
  bool finishes = false;  // The caller sends nothing more.
  bool resets = false;
  std::uint32_t seq = 0;         // Position of the first byte of data.
  std::uint32_t ack = 0;         // Bytes received; in an opening: copy number.
  std::uint16_t data_bytes = 0;  // Bytes of data in the packet.
  WireToken token;
};

// The flow of the packet.
[[nodiscard]] inline auto FlowIdOf(const TokenPacket& packet) -> FlowId {
  return {packet.caller, packet.service};
}

// The token of the endpoint of the packet's flow.
[[nodiscard]] inline auto TokenOf(const TokenPacket& packet) -> FlowToken {
  return FromWire(packet.token, packet.service);
}

// Why a flow is reset.
enum class ResetReason : std::uint8_t {
  kNoRoute,     // Its service address is not published.
  kDeparted,    // Its endpoint has left.
  kSilent,      // Its endpoint does not answer.
  kUnknown,     // Its endpoint has been unknown for too long.
  kNoEndpoint,  // Its service has no eligible endpoint.
  kEvacuated,   // All endpoints of its service are in evacuated data centres.
  // All endpoints that could take it are cold, and allowed no further opening.
  kColdEndpoints,
};
inline constexpr std::size_t kResetReasonCount = 7;

// Name of the reason in logs and metrics, for example "endpoint_departed".
[[nodiscard]] auto ToString(ResetReason reason) -> std::string_view;

struct ForwardWithToken {
  EndpointId endpoint;
  SocketAddress address;
  WireToken token;  // Written into the packet.
};

// Tells the caller that its flow has ended.
struct ResetFlow {
  SocketAddress caller;
  SocketAddress service;
  std::uint32_t seq = 0;  // A sequence number that the caller accepts.
  ResetReason reason = ResetReason::kNoRoute;
};

using TokenAction = std::variant<ForwardWithToken, ResetFlow, DropPacket>;

// A decision of the router or a change in the state of an endpoint, for the
// log.
struct RouterEvent {
  enum class Kind : std::uint8_t {
    kFlowOpened,
    kFlowReset,
    kPacketDropped,
    kTokenChanged,       // A flow carries another token than before.
    kTokenCorrected,     // It carried that of another copy of its opening.
    kOpeningMoved,       // A copy went to another endpoint than the one before.
    kEndpointSuspected,  // It left packets of several flows unanswered.
    kEndpointSilent,     // The endpoint counts as dead.
    kEndpointAlive,      // A suspect endpoint answered again.
    kEndpointFailing,    // Requests failed at several instances.
    kRequestUnanswered,  // A flow's request had no answer in time.
    kRequestAnswered,    // Only while answers are reported.
    kSuspended,          // This process did not run for a while.
    kDelayed,            // The same, too briefly to count as suspended.
  };
  static constexpr std::size_t kKindCount = 14;

  Kind kind = Kind::kFlowOpened;
  SocketAddress caller{};
  SocketAddress service{};
  FlowToken token{};
  std::uint32_t copy = 0;  // Of an opening: copies sent before this one.
  std::uint32_t unanswered_packets = 0;  // Of the endpoint; see EndpointHealth.
  std::uint32_t waiting = 0;
  Duration age{0};  // Of the input that led to the event.
  // Of a silent endpoint: time since any endpoint's last answer here, if any.
  std::optional<Duration> since_any_answer{};
  std::string_view detail{};  // Reason, with static lifetime.
};

// Name of the kind as it appears in the log, for example "flow_opened".
[[nodiscard]] auto ToString(RouterEvent::Kind kind) -> std::string_view;

// A latency that a caller sees, as measured from its packets.
struct ReplySample {
  enum class Kind : std::uint8_t { kOpening, kData };
  Kind kind = Kind::kOpening;
  Duration time{0};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TOKEN_TYPES_H_
