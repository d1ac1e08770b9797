#include "Soak/route_probe.h"

#include <span>
#include <utility>

namespace hemlockwick::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

}  // namespace

RouteProbe::RouteProbe(World& world, Ipv4Address ip, Refused refused)
    : world_(world),
      ip_(ip),
      refused_(std::move(refused)),
      socket_(world.context(), udp::endpoint(asio::ip::address_v4(ip.value()),
                                             kPacketPort.value())) {
  Receive();
}

void RouteProbe::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        const auto packet =
            error ? std::nullopt : Decode(std::span(buffer_).first(size));
        if (packet && packet->rst && packet->sum == 0) {
          refused_(packet->from,
                   Ipv4Address(sender_.address().to_v4().to_uint()));
        }
        Receive();
      });
}

void RouteProbe::Send(const SocketAddress& service, Ipv4Address instance) {
  port_ = port_ == 65535 ? 1024 : static_cast<std::uint16_t>(port_ + 1);
  auto packet = Packet();
  packet.from = {ip_, Port(port_)};
  packet.to = service;
  packet.syn = true;
  packet.seq = static_cast<std::uint32_t>(world_.random().Below(1U << 30));
  auto ignored = boost::system::error_code();
  socket_.send_to(asio::buffer(Encode(packet)),
                  udp::endpoint(asio::ip::address_v4(instance.value()),
                                kPacketPort.value()),
                  0, ignored);
}

}  // namespace hemlockwick::soak
