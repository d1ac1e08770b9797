#ifndef HEMLOCKWICK_REVIEW_NET_H_
#define HEMLOCKWICK_REVIEW_NET_H_

#include <functional>
#include <string>
#include <string_view>

#include "loop.h"
#include "packet.h"

namespace review {

// Ends the run with exit code 2, because the case cannot run.
[[noreturn]] void CannotRun(const std::string& reason);

// A UDP socket on one address; ends the run when the address is taken.
class UdpSocket {
 public:
  using OnDatagram =
      std::function<void(std::string_view bytes, const Address& sender)>;

  UdpSocket(Loop& loop, const Address& address, OnDatagram on_datagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  auto operator=(const UdpSocket&) -> UdpSocket& = delete;

  void Send(const Address& to, std::string_view bytes) const;

 private:
  void Receive();

  Loop& loop_;
  const int fd_;
  const OnDatagram on_datagram_;
};

// A listening TCP socket, and a connection attempt; both without blocking.
[[nodiscard]] auto ListenTcp(const Address& address) -> int;
[[nodiscard]] auto ConnectTcp(const Address& address) -> int;

// Whether all addresses can be bound.
[[nodiscard]] auto IsFree(const Address& address) -> bool;

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_NET_H_
