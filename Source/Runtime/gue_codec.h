#ifndef HEMLOCKWICK_RUNTIME_GUE_CODEC_H_
#define HEMLOCKWICK_RUNTIME_GUE_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "Flow/flow_types.h"

// Generic UDP Encapsulation (GUE), variant 0, carrying an IPv4 packet. Between
// instances the private data of the header carries the relay mark.

namespace hemlockwick {

using Bytes = std::span<const std::uint8_t>;

// Why a datagram cannot be decoded into a packet with a known flow.
enum class GueError : std::uint8_t {
  kTruncated,  // A header or length field reaches past the datagram's end.
  kVariant,    // Not a data message of variant 0 with an IPv4 packet.
  kMark,       // The private data is not a relay mark.
  kInner,      // The inner IPv4, TCP or UDP header is inconsistent.
  kFragment,   // Fragments carry no ports, so their flow is unknown.
  kProtocol,   // Neither TCP nor UDP.
};
inline constexpr std::size_t kGueErrorCount = 6;

// Name of the error as it appears in metrics.
[[nodiscard]] auto ToString(GueError error) -> std::string_view;

// A decoded datagram. `inner` is a view into the datagram.
struct GuePacket {
  FlowPacket packet;
  Bytes inner;
};

using GueDecoded = std::variant<GuePacket, GueError>;

// Decodes one datagram; reads no byte outside of it.
[[nodiscard]] auto DecodeGue(Bytes datagram) -> GueDecoded;

inline constexpr std::size_t kGueBaseBytes = 4;
inline constexpr std::size_t kRelayMarkBytes = 24;

// An encoded GUE header, to be sent in front of an unchanged inner packet.
struct GueHeader {
  std::array<std::uint8_t, kGueBaseBytes + kRelayMarkBytes> bytes{};
  std::size_t size = 0;
};

// Returns the header of a packet to an endpoint, without optional fields.
[[nodiscard]] auto EncodeGueHeader() -> GueHeader;

// Returns the header of a packet relayed to another instance.
[[nodiscard]] auto EncodeGueHeader(const RelayMark& mark) -> GueHeader;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_GUE_CODEC_H_
