#ifndef HEMLOCKWICK_SOAK_ROUTE_PROBE_H_
#define HEMLOCKWICK_SOAK_ROUTE_PROBE_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>

#include "Soak/world.h"

namespace hemlockwick::soak {

// Sends single openings straight to instances, for routes that were just added
// or just removed. Nobody waits for what becomes of them.
class RouteProbe {
 public:
  // Takes a reset of an opening: the service's address and the instance.
  using Refused =
      std::function<void(const SocketAddress& service, Ipv4Address instance)>;

  // Throws boost::system::system_error when the address is taken.
  RouteProbe(World& world, Ipv4Address ip, Refused refused);

  void Send(const SocketAddress& service, Ipv4Address instance);

 private:
  void Receive();

  World& world_;
  const Ipv4Address ip_;
  const Refused refused_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<std::uint8_t, 2048> buffer_{};
  std::uint16_t port_ = 1024;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_ROUTE_PROBE_H_
