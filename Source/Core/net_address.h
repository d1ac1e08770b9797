#ifndef HEMLOCKWICK_CORE_NET_ADDRESS_H_
#define HEMLOCKWICK_CORE_NET_ADDRESS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "Core/error.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// IPv4 address in host byte order.
using Ipv4Address = StrongId<struct Ipv4Tag, std::uint32_t>;
using Port = StrongId<struct PortTag, std::uint16_t>;

// An IPv4 address and a TCP or UDP port.
struct SocketAddress {
  Ipv4Address ip;
  Port port;

  friend auto operator<=>(const SocketAddress&, const SocketAddress&)
      -> std::strong_ordering = default;
};

// Parses "A.B.C.D:PORT". Fails with ErrorCode::kInvalidArgument.
[[nodiscard]] auto ParseSocketAddress(std::string_view text)
    -> Result<SocketAddress>;

[[nodiscard]] auto ToString(Ipv4Address ip) -> std::string;
[[nodiscard]] auto ToString(const SocketAddress& address) -> std::string;

}  // namespace hemlockwick

template <>
struct std::hash<hemlockwick::SocketAddress> {
  auto operator()(const hemlockwick::SocketAddress& address) const noexcept
      -> std::size_t {
    const auto ip = static_cast<std::uint64_t>(address.ip.value());
    return std::hash<std::uint64_t>{}((ip << 16) | address.port.value());
  }
};

#endif  // HEMLOCKWICK_CORE_NET_ADDRESS_H_
