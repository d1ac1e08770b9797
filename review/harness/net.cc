#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace review {

namespace {

auto ToSockaddr(const Address& address) -> sockaddr_in {
  auto result = sockaddr_in();
  result.sin_family = AF_INET;
  result.sin_port = htons(address.port);
  result.sin_addr.s_addr = htonl(address.ip);
  return result;
}

auto Open(int type) -> int {
  return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

auto Bind(int fd, const Address& address) -> bool {
  const auto local = ToSockaddr(address);
  return bind(fd, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) ==
         0;
}

}  // namespace

void CannotRun(const std::string& reason) {
  std::cerr << "cannot run: " << reason << "\n";
  constexpr auto kCannotRun = 2;
  std::exit(kCannotRun);
}

UdpSocket::UdpSocket(Loop& loop, const Address& address, OnDatagram on_datagram)
    : loop_(loop), fd_(Open(SOCK_DGRAM)), on_datagram_(std::move(on_datagram)) {
  if (fd_ < 0 || !Bind(fd_, address)) {
    CannotRun("cannot bind " + ToText(address));
  }
  loop_.OnReadable(fd_, [this] { Receive(); });
}

UdpSocket::~UdpSocket() {
  loop_.Forget(fd_);
  close(fd_);
}

void UdpSocket::Send(const Address& to, std::string_view bytes) const {
  const auto remote = ToSockaddr(to);
  sendto(fd_, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
}

void UdpSocket::Receive() {
  auto buffer = std::array<char, 2048>();
  constexpr auto kMaxBatch = 64;
  for (auto count = 0; count < kMaxBatch; ++count) {
    auto sender = sockaddr_in();
    auto size = socklen_t{sizeof(sender)};
    const auto received = recvfrom(fd_, buffer.data(), buffer.size(), 0,
                                   reinterpret_cast<sockaddr*>(&sender), &size);
    if (received < 0) {
      return;
    }
    on_datagram_({buffer.data(), static_cast<std::size_t>(received)},
                 {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)});
  }
}

auto ListenTcp(const Address& address) -> int {
  const auto fd = Open(SOCK_STREAM);
  const auto on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  constexpr auto kBacklog = 64;
  if (fd < 0 || !Bind(fd, address) || listen(fd, kBacklog) != 0) {
    CannotRun("cannot listen on " + ToText(address));
  }
  return fd;
}

auto ConnectTcp(const Address& address) -> int {
  const auto fd = Open(SOCK_STREAM);
  const auto remote = ToSockaddr(address);
  connect(fd, reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
  return fd;
}

auto IsFree(const Address& address) -> bool {
  auto is_free = true;
  for (const auto type : {SOCK_STREAM, SOCK_DGRAM}) {
    const auto fd = Open(type);
    const auto on = 1;
    if (type == SOCK_STREAM) {
      setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    is_free = is_free && Bind(fd, address);
    close(fd);
  }
  return is_free;
}

}  // namespace review
