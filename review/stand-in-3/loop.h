// One thread: timers and sockets.
#ifndef REVIEW_STAND_IN_3_LOOP_H_
#define REVIEW_STAND_IN_3_LOOP_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

#include "packet.h"

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline auto ToSockaddr(const Address& address) -> sockaddr_in {
  auto result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

class Loop {
 public:
  // Milliseconds since the start.
  [[nodiscard]] auto Now() const -> std::int64_t {
    return std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
  }

  void After(std::int64_t millis, std::function<void()> action) {
    timers_.emplace(Now() + millis, std::move(action));
  }

  // Calls `action` whenever the descriptor can be read or has failed.
  void OnReadable(int descriptor, std::function<void()> action) {
    readers_[descriptor] = std::move(action);
  }

  void Forget(int descriptor) { readers_.erase(descriptor); }

  void Stop() { stopped_ = true; }

  void Run() {
    while (!stopped_) {
      Step();
    }
  }

 private:
  void Step() {
    auto wait = std::int64_t{50};
    if (!timers_.empty()) {
      wait = std::clamp<std::int64_t>(timers_.begin()->first - Now(), 0, 50);
    }
    auto polled = std::vector<pollfd>();
    for (const auto& [descriptor, action] : readers_) {
      polled.push_back({descriptor, POLLIN, 0});
    }
    poll(polled.data(), polled.size(), static_cast<int>(wait));
    for (const auto& entry : polled) {
      const auto found = readers_.find(entry.fd);
      if (entry.revents != 0 && found != readers_.end()) {
        const auto action = found->second;
        action();
      }
    }
    while (!timers_.empty() && timers_.begin()->first <= Now() && !stopped_) {
      const auto action = timers_.begin()->second;
      timers_.erase(timers_.begin());
      action();
    }
  }

  const Clock::time_point start_ = Clock::now();
  std::multimap<std::int64_t, std::function<void()>> timers_;
  std::map<int, std::function<void()>> readers_;
  bool stopped_ = false;
};

// A bound UDP socket.
class Udp {
 public:
  using OnDatagram = std::function<void(const std::string&, const Address&)>;

  Udp(Loop& loop, const Address& address, OnDatagram on_datagram)
      : loop_(loop), on_datagram_(std::move(on_datagram)) {
    socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto local = ToSockaddr(address);
    if (bind(socket_, reinterpret_cast<const sockaddr*>(&local),
             sizeof(local)) != 0) {
      throw std::runtime_error("cannot bind UDP " + Text(address));
    }
    loop_.OnReadable(socket_, [this] { Receive(); });
  }
  ~Udp() {
    loop_.Forget(socket_);
    close(socket_);
  }
  Udp(const Udp&) = delete;
  auto operator=(const Udp&) -> Udp& = delete;

  void Send(const std::string& bytes, const Address& to) const {
    const auto remote = ToSockaddr(to);
    sendto(socket_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&remote), sizeof(remote));
  }

 private:
  void Receive() {
    auto buffer = std::string(2048, '\0');
    auto sender = sockaddr_in{};
    auto length = socklen_t{sizeof(sender)};
    for (auto count = 0; count < 64; ++count) {
      const auto size = recvfrom(socket_, buffer.data(), buffer.size(), 0,
                                 reinterpret_cast<sockaddr*>(&sender), &length);
      if (size < 0) {
        return;
      }
      on_datagram_(buffer.substr(0, static_cast<std::size_t>(size)),
                   {ntohl(sender.sin_addr.s_addr), ntohs(sender.sin_port)});
    }
  }

  Loop& loop_;
  OnDatagram on_datagram_;
  int socket_ = -1;
};

inline auto ListenOn(const Address& address) -> int {
  const auto socket =
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const auto on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const auto local = ToSockaddr(address);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof(local)) !=
          0 ||
      listen(socket, 128) != 0) {
    throw std::runtime_error("cannot listen on " + Text(address));
  }
  return socket;
}

}  // namespace review

#endif  // REVIEW_STAND_IN_3_LOOP_H_
