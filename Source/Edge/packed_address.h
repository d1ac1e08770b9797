#ifndef HEMLOCKWICK_EDGE_PACKED_ADDRESS_H_
#define HEMLOCKWICK_EDGE_PACKED_ADDRESS_H_

#include <cstdint>

#include "Core/net_address.h"

namespace hemlockwick {

inline constexpr unsigned kPackedPortBits = 16;

// An address as one number, with the port in the lowest 16 bits.
[[nodiscard]] constexpr auto PackAddress(const SocketAddress& address)
    -> std::uint64_t {
  return (std::uint64_t{address.ip.value()} << kPackedPortBits) |
         address.port.value();
}

[[nodiscard]] constexpr auto UnpackAddress(std::uint64_t packed)
    -> SocketAddress {
  return {Ipv4Address(static_cast<std::uint32_t>(packed >> kPackedPortBits)),
          Port(static_cast<std::uint16_t>(packed))};
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_PACKED_ADDRESS_H_
