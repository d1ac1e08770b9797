#include <sys/socket.h>
#include <sys/time.h>

#include "Edge/edge_process.h"

namespace hemlockwick {

namespace {

// Maximum wait for a datagram. Without traffic, unanswered packets are
// evaluated at this interval.
constexpr auto kReceiveTimeout = timeval{0, 50'000};

}  // namespace

auto EdgeSockets::Open(const ServeSettings& settings) -> Result<EdgeSockets> {
  auto sockets = EdgeSockets();
  BOOST_LEAF_ASSIGN(sockets.packet, BindUdp(settings.packet, false));
  setsockopt(sockets.packet.get(), SOL_SOCKET, SO_RCVTIMEO, &kReceiveTimeout,
             sizeof(kReceiveTimeout));
  BOOST_LEAF_ASSIGN(sockets.http, ListenTcp(settings.http));
  if (settings.metrics != SocketAddress()) {
    BOOST_LEAF_ASSIGN(sockets.metrics, ListenTcp(settings.metrics));
  }
  if (settings.relay != SocketAddress()) {
    BOOST_LEAF_ASSIGN(sockets.relay, ListenTcp(settings.relay));
  }
  return sockets;
}

}  // namespace hemlockwick
