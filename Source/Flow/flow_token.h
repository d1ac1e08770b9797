#ifndef HEMLOCKWICK_FLOW_FLOW_TOKEN_H_
#define HEMLOCKWICK_FLOW_FLOW_TOKEN_H_

#include <cstdint>

#include "Core/hash.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// Identifies an endpoint in the packets of its flows, by a hash of its id. Zero
// identifies none; two endpoints may have the same token.
using FlowToken = StrongId<struct FlowTokenTag, std::uint32_t>;

inline constexpr FlowToken kNoToken{0};

// The token of an endpoint, the same on every instance.
[[nodiscard]] constexpr auto TokenOf(EndpointId endpoint) -> FlowToken {
  constexpr auto kHalfBits = 32;
  const auto folded = static_cast<std::uint32_t>(
      endpoint.value() ^ (endpoint.value() >> kHalfBits));
  return FlowToken(folded == 0 ? 1 : folded);
}

// A FlowToken as packets carry it: masked with the service address, so that it
// is valid at this address only.
using WireToken = StrongId<struct WireTokenTag, std::uint32_t>;

// Mask that ties tokens to a service address.
[[nodiscard]] constexpr auto ServiceMask(const SocketAddress& service)
    -> std::uint32_t {
  return static_cast<std::uint32_t>(
      MixWords(service.ip.value(), service.port.value()));
}

// The token as packets to `service` carry it.
[[nodiscard]] constexpr auto ToWire(FlowToken token,
                                    const SocketAddress& service) -> WireToken {
  return WireToken(token.value() ^ ServiceMask(service));
}

// The token in a packet to `service`. A token that was issued at another
// address almost certainly matches no endpoint.
[[nodiscard]] constexpr auto FromWire(WireToken token,
                                      const SocketAddress& service)
    -> FlowToken {
  return FlowToken(token.value() ^ ServiceMask(service));
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_TOKEN_H_
