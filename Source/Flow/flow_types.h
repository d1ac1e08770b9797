#ifndef HEMLOCKWICK_FLOW_FLOW_TYPES_H_
#define HEMLOCKWICK_FLOW_FLOW_TYPES_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "Core/ids.h"
#include "Core/net_address.h"

namespace hemlockwick {

// Why an instance relayed a packet to the receiver.
enum class RelayStage : std::uint8_t {
  kNone,        // The packet came from the network fabric.
  kSecondHome,  // Relayed to the flow's second home.
  kFirstHome,   // Relayed to the flow's first home.
  kAskPeer,     // A home without a record asks the other one.
};

// Carried in the GUE private data of a relayed packet.
struct RelayMark {
  std::uint8_t hops = 0;
  RelayStage stage = RelayStage::kNone;
  Version sender_version;
  // Owner of the flow that the sender knows; zero when it knows none.
  EndpointId known_owner;
};

// Maximum number of relays of a packet between instances.
inline constexpr std::uint8_t kMaxRelayHops = 4;

// The fields of a packet that determine where it goes.
struct FlowPacket {
  FlowKey flow;
  SocketAddress destination;  // The service's address.
  bool opens = false;         // TCP SYN without ACK.
  bool closes = false;        // TCP FIN or RST.
  RelayMark relay;
};

enum class DropReason : std::uint8_t {
  kMalformed,
  kUnknownService,
  kNoEndpoint,
  kLoop,
  kQuarantined,  // Another service used the address too recently.
  kOverLimit,
  kNotReady,         // No directory has been read yet.
  kUnknownEndpoint,  // The token matches no known endpoint.
  kForeignEndpoint,  // The token matches another service's endpoint.
};
inline constexpr std::size_t kDropReasonCount = 9;

// Name of the reason as it appears in metrics, for example "no_endpoint".
[[nodiscard]] auto ToString(DropReason reason) -> std::string_view;

struct ForwardToEndpoint {
  EndpointId endpoint;
  SocketAddress address;
};
struct RelayToInstance {
  InstanceId instance;
  SocketAddress address;  // The instance's packet address.
  RelayMark mark;
};
struct DropPacket {
  DropReason reason = DropReason::kMalformed;
};

using FlowAction = std::variant<ForwardToEndpoint, RelayToInstance, DropPacket>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_TYPES_H_
