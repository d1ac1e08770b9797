#ifndef HEMLOCKWICK_RUNTIME_GUE_CODEC_H_
#define HEMLOCKWICK_RUNTIME_GUE_CODEC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "Flow/flow_types.h"

// Generic UDP Encapsulation, variant 0, with an IPv4 packet inside. Between
// instances the private data of the header carries the relay mark.

namespace hemlockwick {

using Bytes = std::span<const std::uint8_t>;

// Why a datagram is not a packet that this instance can decide.
enum class GueError : std::uint8_t {
  kTruncated,  // A header or length field reaches past the datagram's end.
  kVariant,    // Not a data message of variant 0 with an IPv4 packet.
  kMark,       // The private data is not a relay mark.
  kInner,      // The inner IPv4, TCP or UDP header is inconsistent.
  kFragment,   // Fragments carry no ports, so their flow is not known.
  kProtocol,   // Neither TCP nor UDP.
};
inline constexpr std::size_t kGueErrorCount = 6;

// Name of the error as it appears in metrics.
[[nodiscard]] auto ToString(GueError error) -> std::string_view;

// A decoded datagram. `inner` refers to the datagram's bytes.
struct GuePacket {
  FlowPacket packet;
  Bytes inner;
};

using GueDecoded = std::variant<GuePacket, GueError>;

// Decodes one datagram; reads no byte outside of it.
[[nodiscard]] auto DecodeGue(Bytes datagram) -> GueDecoded;

inline constexpr std::size_t kGueBaseBytes = 4;
inline constexpr std::size_t kRelayMarkBytes = 24;

// A header to be sent in front of an unchanged inner packet.
struct GueHeader {
  std::array<std::uint8_t, kGueBaseBytes + kRelayMarkBytes> bytes{};
  std::size_t size = 0;
};

// The header of a packet to an endpoint: no optional field.
[[nodiscard]] auto EncodeGueHeader() -> GueHeader;

// The header of a packet to another instance.
[[nodiscard]] auto EncodeGueHeader(const RelayMark& mark) -> GueHeader;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_GUE_CODEC_H_
