#ifndef HEMLOCKWICK_EDGE_PACKET_CODEC_H_
#define HEMLOCKWICK_EDGE_PACKET_CODEC_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "Core/net_address.h"
#include "Flow/token_router.h"

namespace hemlockwick {

// Converts between the datagrams of a platform and the packets on which
// TokenRouter decides. Datagrams to an endpoint start with a Prefix.
template <typename T>
concept PacketCodec = requires(std::span<const std::uint8_t> datagram,
                               std::span<std::uint8_t> writable,
                               WireToken token, EndpointId endpoint,
                               const ResetFlow& reset,
                               const SocketAddress& local) {
  { T::kMaxDatagramBytes } -> std::convertible_to<std::size_t>;
  // The fields of a datagram; nullopt when it is malformed.
  { T::Decode(datagram) } -> std::same_as<std::optional<TokenPacket>>;
  // Writes the token into a datagram that Decode has accepted.
  { T::WriteToken(writable, token) } -> std::same_as<void>;
  // The prefix of datagrams to the endpoint.
  { T::PrefixOf(endpoint) } -> std::same_as<typename T::Prefix>;
  // A packet that resets a flow, and its destination; `local` is the address at
  // which this instance receives packets.
  { T::EncodeReset(reset) } -> std::same_as<typename T::ResetPacket>;
  { T::ResetDestination(reset, local) } -> std::same_as<SocketAddress>;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_PACKET_CODEC_H_
