#include "StandIn/flow_packet.h"

#include <span>

namespace hemlockwick {

namespace {

constexpr std::uint32_t kFirstCallerIp = 0x0B000000;
constexpr std::uint32_t kCallerPort = 0x8000;
constexpr std::uint32_t kSynFlags = 0x50020000;
constexpr std::uint32_t kAckFlags = 0x50100000;

constexpr std::size_t kFlowOffset = 40;
constexpr std::size_t kSequenceOffset = 44;

void Put(std::span<std::uint8_t> bytes, std::size_t offset,
         std::uint32_t value) {
  for (auto index = std::size_t{0}; index < sizeof(value); ++index) {
    bytes[offset + index] =
        static_cast<std::uint8_t>(value >> (8 * (sizeof(value) - 1 - index)));
  }
}

auto Get(Bytes bytes, std::size_t offset) -> std::uint32_t {
  auto value = std::uint32_t{0};
  for (auto index = std::size_t{0}; index < sizeof(value); ++index) {
    value = (value << 8) | bytes[offset + index];
  }
  return value;
}

}  // namespace

auto EncodeProbe(const FlowProbe& probe, const SocketAddress& service)
    -> ProbeDatagram {
  auto datagram = ProbeDatagram{0, 4, 0, 0};
  const auto inner = std::span(datagram).subspan(kGueBaseBytes);
  Put(inner, 0, 0x45000000 | kProbeBytes);
  Put(inner, 8, 0x40060000);
  Put(inner, 12, kFirstCallerIp + probe.flow);
  Put(inner, 16, service.ip.value());
  Put(inner, 20, (kCallerPort << 16) | service.port.value());
  Put(inner, 32, probe.sequence == 0 ? kSynFlags : kAckFlags);
  Put(inner, kFlowOffset, probe.flow);
  Put(inner, kSequenceOffset, probe.sequence);
  return datagram;
}

auto DecodeProbe(Bytes inner) -> std::optional<FlowProbe> {
  if (inner.size() != kProbeBytes) {
    return std::nullopt;
  }
  return FlowProbe{Get(inner, kFlowOffset), Get(inner, kSequenceOffset)};
}

}  // namespace hemlockwick
