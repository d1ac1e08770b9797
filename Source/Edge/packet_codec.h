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

// Translates between the datagrams of a platform and the facts that
// TokenRouter decides by. Datagrams to an endpoint have a prefix of
// kPrefixBytes.
template <typename T>
concept PacketCodec = requires(std::span<const std::uint8_t> datagram,
                               std::span<std::uint8_t> writable,
                               WireToken token, EndpointId endpoint,
                               const ResetFlow& reset,
                               const SocketAddress& local) {
  { T::kMaxDatagramBytes } -> std::convertible_to<std::size_t>;
  // The facts of a datagram; nothing when it is malformed.
  { T::Decode(datagram) } -> std::same_as<std::optional<TokenPacket>>;
  // Writes the token into a datagram that Decode has accepted.
  { T::WriteToken(writable, token) } -> std::same_as<void>;
  // The prefix for the endpoint.
  { T::PrefixOf(endpoint) } -> std::same_as<typename T::Prefix>;
  // A reset, and the address that takes it; `local` is where this instance
  // receives packets.
  { T::EncodeReset(reset) } -> std::same_as<typename T::ResetPacket>;
  { T::ResetDestination(reset, local) } -> std::same_as<SocketAddress>;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_PACKET_CODEC_H_
