#include "Runtime/gue_codec.h"

#include <netinet/in.h>

#include <optional>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

constexpr std::uint8_t kVariantMask = 0xC0;
constexpr std::uint8_t kControlBit = 0x20;
constexpr std::uint8_t kHeaderWordsMask = 0x1F;
constexpr std::size_t kWordBytes = 4;

// Identifies private data as a relay mark: "HLWK" in ASCII.
constexpr std::uint32_t kMarkMagic = 0x484C574B;

constexpr std::size_t kMinIpv4Bytes = 20;
constexpr std::size_t kMinTcpBytes = 20;
constexpr std::size_t kUdpBytes = 8;
// More-fragments flag and fragment offset.
constexpr std::uint16_t kFragmentMask = 0x3FFF;

constexpr std::uint8_t kTcpFin = 0x01;
constexpr std::uint8_t kTcpSyn = 0x02;
constexpr std::uint8_t kTcpRst = 0x04;
constexpr std::uint8_t kTcpAck = 0x10;

// Reads a big-endian integer. The caller must have checked the bounds.
template <typename Integer>
auto ReadAt(Bytes bytes, std::size_t offset) -> Integer {
  auto value = Integer{0};
  for (auto index = std::size_t{0}; index < sizeof(Integer); ++index) {
    value = static_cast<Integer>((value << 8) | bytes[offset + index]);
  }
  return value;
}

template <typename Integer>
void WriteAt(std::span<std::uint8_t> bytes, std::size_t offset, Integer value) {
  for (auto index = sizeof(Integer); index > 0; --index) {
    bytes[offset + index - 1] = static_cast<std::uint8_t>(value);
    value = static_cast<Integer>(value >> 8);
  }
}

// Offsets in the relay mark.
constexpr std::size_t kHopsOffset = 4;
constexpr std::size_t kStageOffset = 5;
constexpr std::size_t kVersionOffset = 8;
constexpr std::size_t kOwnerOffset = 16;

auto ReadMark(Bytes bytes) -> std::optional<RelayMark> {
  if (bytes.empty()) {
    return RelayMark{};
  }
  if (bytes.size() != kRelayMarkBytes ||
      ReadAt<std::uint32_t>(bytes, 0) != kMarkMagic ||
      bytes[kStageOffset] > static_cast<std::uint8_t>(RelayStage::kAskPeer)) {
    return std::nullopt;
  }
  auto mark = RelayMark();
  mark.hops = bytes[kHopsOffset];
  mark.stage = static_cast<RelayStage>(bytes[kStageOffset]);
  mark.sender_version = Version(ReadAt<std::uint64_t>(bytes, kVersionOffset));
  mark.known_owner = EndpointId(ReadAt<std::uint64_t>(bytes, kOwnerOffset));
  return mark;
}

// Checks the TCP or UDP header and, for TCP, sets `opens` and `closes` of the
// packet. Returns the error, if any.
auto ReadTransport(Bytes segment, std::uint8_t protocol, FlowPacket& packet)
    -> std::optional<GueError> {
  if (protocol == IPPROTO_UDP) {
    if (segment.size() < kUdpBytes) {
      return GueError::kTruncated;
    }
    const auto length = ReadAt<std::uint16_t>(segment, 4);
    const auto fits = length >= kUdpBytes && length <= segment.size();
    return fits ? std::nullopt : std::optional(GueError::kInner);
  }
  if (protocol != IPPROTO_TCP) {
    return GueError::kProtocol;
  }
  if (segment.size() < kMinTcpBytes) {
    return GueError::kTruncated;
  }
  const auto header_bytes = (segment[12] >> 4) * kWordBytes;
  if (header_bytes < kMinTcpBytes || header_bytes > segment.size()) {
    return GueError::kInner;
  }
  const auto flags = segment[13];
  packet.opens = (flags & (kTcpSyn | kTcpAck)) == kTcpSyn;
  packet.closes = (flags & (kTcpFin | kTcpRst)) != 0;
  return std::nullopt;
}

auto KeyOf(std::uint32_t source_ip, std::uint32_t ports,
           std::uint32_t destination_ip, std::uint8_t protocol) -> FlowKey {
  const auto addresses =
      (static_cast<std::uint64_t>(source_ip) << 32) | destination_ip;
  const auto rest = (static_cast<std::uint64_t>(protocol) << 32) | ports;
  return FlowKey(MixWords(addresses, rest));
}

auto DecodeInner(Bytes inner, const RelayMark& mark) -> GueDecoded {
  if (inner.size() < kMinIpv4Bytes) {
    return GueError::kTruncated;
  }
  const auto header_bytes = (inner[0] & 0x0F) * kWordBytes;
  const auto total_bytes = ReadAt<std::uint16_t>(inner, 2);
  if (inner[0] >> 4 != 4 || header_bytes < kMinIpv4Bytes ||
      total_bytes < header_bytes) {
    return GueError::kInner;
  }
  if (total_bytes > inner.size()) {
    return GueError::kTruncated;
  }
  if ((ReadAt<std::uint16_t>(inner, 6) & kFragmentMask) != 0) {
    return GueError::kFragment;
  }
  auto result = GuePacket();
  result.inner = inner.first(total_bytes);
  const auto segment = result.inner.subspan(header_bytes);
  const auto protocol = inner[9];
  if (const auto error = ReadTransport(segment, protocol, result.packet)) {
    return *error;
  }
  const auto source_ip = ReadAt<std::uint32_t>(inner, 12);
  const auto destination_ip = ReadAt<std::uint32_t>(inner, 16);
  const auto ports = ReadAt<std::uint32_t>(segment, 0);
  result.packet.flow = KeyOf(source_ip, ports, destination_ip, protocol);
  result.packet.destination = {Ipv4Address(destination_ip),
                               Port(static_cast<std::uint16_t>(ports))};
  result.packet.relay = mark;
  return result;
}

}  // namespace

auto ToString(GueError error) -> std::string_view {
  switch (error) {
    case GueError::kTruncated:
      return "truncated";
    case GueError::kVariant:
      return "variant";
    case GueError::kMark:
      return "mark";
    case GueError::kInner:
      return "inner";
    case GueError::kFragment:
      return "fragment";
    case GueError::kProtocol:
      return "protocol";
  }
  return "unknown";
}

auto DecodeGue(Bytes datagram) -> GueDecoded {
  if (datagram.size() < kGueBaseBytes) {
    return GueError::kTruncated;
  }
  const auto flags = ReadAt<std::uint16_t>(datagram, 2);
  if ((datagram[0] & (kVariantMask | kControlBit)) != 0 ||
      datagram[1] != IPPROTO_IPIP || flags != 0) {
    return GueError::kVariant;
  }
  const auto option_bytes = (datagram[0] & kHeaderWordsMask) * kWordBytes;
  if (datagram.size() < kGueBaseBytes + option_bytes) {
    return GueError::kTruncated;
  }
  const auto mark = ReadMark(datagram.subspan(kGueBaseBytes, option_bytes));
  if (!mark) {
    return GueError::kMark;
  }
  return DecodeInner(datagram.subspan(kGueBaseBytes + option_bytes), *mark);
}

auto EncodeGueHeader() -> GueHeader {
  auto header = GueHeader();
  header.bytes[1] = IPPROTO_IPIP;
  header.size = kGueBaseBytes;
  return header;
}

auto EncodeGueHeader(const RelayMark& mark) -> GueHeader {
  auto header = EncodeGueHeader();
  header.bytes[0] = kRelayMarkBytes / kWordBytes;
  header.size = kGueBaseBytes + kRelayMarkBytes;
  const auto bytes = std::span(header.bytes).subspan(kGueBaseBytes);
  WriteAt(bytes, 0, kMarkMagic);
  bytes[kHopsOffset] = mark.hops;
  bytes[kStageOffset] = static_cast<std::uint8_t>(mark.stage);
  WriteAt(bytes, kVersionOffset, mark.sender_version.value());
  WriteAt(bytes, kOwnerOffset, mark.known_owner.value());
  return header;
}

}  // namespace hemlockwick
