#include "Core/net_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <limits>

namespace hemlockwick {

auto ParseSocketAddress(std::string_view text) -> Result<SocketAddress> {
  const auto malformed = [&text] {
    return Fail(ErrorCode::kInvalidArgument,
                "'" + std::string(text) + "' is not an address",
                "write it as A.B.C.D:PORT, for example 10.0.0.7:6080");
  };
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed();
  }
  const auto host = std::string(text.substr(0, colon));
  const auto has_null = host.find('\0') != std::string::npos;
  auto parsed = in_addr{};
  if (has_null || inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    return malformed();
  }
  const auto digits = text.substr(colon + 1);
  const auto* const end = digits.data() + digits.size();
  std::uint32_t port = 0;
  const auto [rest, status] = std::from_chars(digits.data(), end, port);
  if (status != std::errc() || rest != end || port == 0 ||
      port > std::numeric_limits<std::uint16_t>::max()) {
    return malformed();
  }
  return SocketAddress{Ipv4Address(ntohl(parsed.s_addr)),
                       Port(static_cast<std::uint16_t>(port))};
}

auto ToString(Ipv4Address ip) -> std::string {
  const auto value = ip.value();
  return std::to_string(value >> 24) + "." +
         std::to_string((value >> 16) & 0xFF) + "." +
         std::to_string((value >> 8) & 0xFF) + "." +
         std::to_string(value & 0xFF);
}

auto ToString(const SocketAddress& address) -> std::string {
  return ToString(address.ip) + ":" + std::to_string(address.port.value());
}

}  // namespace hemlockwick
