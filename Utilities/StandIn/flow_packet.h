#ifndef HEMLOCKWICK_STANDIN_FLOW_PACKET_H_
#define HEMLOCKWICK_STANDIN_FLOW_PACKET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/net_address.h"
#include "Runtime/gue_codec.h"

// The packets that the caller and endpoint stand-ins exchange: a TCP header
// and the numbers of the flow and of the packet in it.

namespace hemlockwick {

struct FlowProbe {
  std::uint32_t flow = 0;
  std::uint32_t sequence = 0;  // 0 opens the flow.
};

inline constexpr std::size_t kProbeBytes = 48;
using ProbeDatagram = std::array<std::uint8_t, kGueBaseBytes + kProbeBytes>;

// A GUE datagram to `service` as the fabric sends it.
[[nodiscard]] auto EncodeProbe(const FlowProbe& probe,
                               const SocketAddress& service) -> ProbeDatagram;

// Reads the probe of an inner packet; empty when there is none.
[[nodiscard]] auto DecodeProbe(Bytes inner) -> std::optional<FlowProbe>;

// The endpoint's answer, sent directly to the caller.
struct FlowAnswer {
  std::uint32_t flow = 0;
  std::uint32_t sequence = 0;
  std::uint32_t endpoint = 0;  // Number of the endpoint.
  std::uint32_t reset = 0;     // 1 when the endpoint does not know the flow.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_FLOW_PACKET_H_
