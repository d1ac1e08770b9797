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
  kNone,        // The packet came from the fabric.
  kSecondHome,  // Relayed to the flow's second home.
  kFirstHome,   // Relayed to the flow's first home.
  kAskPeer,     // A home without a record asks the other one.
};

// Carried in the GUE private data of a relayed packet.
struct RelayMark {
  std::uint8_t hops = 0;
  RelayStage stage = RelayStage::kNone;
  Version sender_version;
  // Earlier owner known to the sender; zero when it knows none.
  EndpointId known_owner;
};

// Most relays that a packet may make between instances.
inline constexpr std::uint8_t kMaxRelayHops = 4;

// The facts about a packet that decide where it goes.
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
  kQuarantined,  // The address left another service too recently.
  kOverLimit,
  kNotReady,         // No directory has been read yet.
  kUnknownEndpoint,  // The flow names an endpoint that is not known.
  kForeignEndpoint,  // The flow names an endpoint of another service.
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
