#include "Runtime/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <string>
#include <string_view>

namespace hemlockwick {

namespace {

constexpr int kListenBacklog = 1024;
constexpr int kUdpBufferBytes = 4 * 1024 * 1024;

auto AsSockaddr(const sockaddr_in& address) -> const sockaddr* {
  return reinterpret_cast<const sockaddr*>(&address);
}

void Enable(const FileDescriptor& socket, int option) {
  const auto on = 1;
  setsockopt(socket.get(), SOL_SOCKET, option, &on, sizeof(on));
}

auto BindError(const SocketAddress& address, std::string_view kind,
               std::string_view setting) -> boost::leaf::error_id {
  const auto code =
      errno == EADDRINUSE ? ErrorCode::kAddressInUse : ErrorCode::kInternal;
  return Fail(code,
              "cannot bind " + std::string(kind) + " " + ToString(address) +
                  ": " + std::strerror(errno),
              "choose another address for '" + std::string(setting) +
                  "' or stop the process that uses it");
}

}  // namespace

auto ToSockaddr(const SocketAddress& address) -> sockaddr_in {
  auto result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip.value());
  result.sin_port = htons(address.port.value());
  return result;
}

auto FromSockaddr(const sockaddr_in& address) -> SocketAddress {
  return {Ipv4Address(ntohl(address.sin_addr.s_addr)),
          Port(ntohs(address.sin_port))};
}

auto ListenTcp(const SocketAddress& address) -> Result<FileDescriptor> {
  auto result = FileDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  Enable(result, SO_REUSEADDR);
  const auto local = ToSockaddr(address);
  if (bind(result.get(), AsSockaddr(local), sizeof(local)) != 0 ||
      listen(result.get(), kListenBacklog) != 0) {
    return BindError(address, "TCP", "http");
  }
  return result;
}

auto BindUdp(const SocketAddress& address, bool reuse_port)
    -> Result<FileDescriptor> {
  auto result = FileDescriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0));
  if (reuse_port) {
    Enable(result, SO_REUSEPORT);
  }
  setsockopt(result.get(), SOL_SOCKET, SO_RCVBUF, &kUdpBufferBytes,
             sizeof(kUdpBufferBytes));
  const auto local = ToSockaddr(address);
  if (bind(result.get(), AsSockaddr(local), sizeof(local)) != 0) {
    return BindError(address, "UDP", "packet");
  }
  return result;
}

auto LocalAddress(const FileDescriptor& socket) -> SocketAddress {
  auto address = sockaddr_in{};
  auto length = socklen_t{sizeof(address)};
  getsockname(socket.get(), reinterpret_cast<sockaddr*>(&address), &length);
  return FromSockaddr(address);
}

auto CanConnect(const SocketAddress& address, Duration timeout) -> bool {
  const auto probe = FileDescriptor(
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  const auto remote = ToSockaddr(address);
  if (connect(probe.get(), AsSockaddr(remote), sizeof(remote)) == 0) {
    return true;
  }
  if (errno != EINPROGRESS) {
    return false;
  }
  auto waiting = pollfd{probe.get(), POLLOUT, 0};
  const auto millis =
      std::chrono::ceil<std::chrono::milliseconds>(timeout).count();
  if (poll(&waiting, 1, static_cast<int>(millis)) <= 0) {
    return false;
  }
  auto error = 0;
  auto length = socklen_t{sizeof(error)};
  getsockopt(probe.get(), SOL_SOCKET, SO_ERROR, &error, &length);
  return error == 0;
}

}  // namespace hemlockwick
