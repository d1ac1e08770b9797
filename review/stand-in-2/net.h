// Sockets, timers and the event loop of the stand-ins. One thread, poll().
#ifndef REVIEW_STAND_IN_2_NET_H_
#define REVIEW_STAND_IN_2_NET_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace review {

struct Address {
  std::uint32_t ip = 0;  // Host byte order.
  std::uint16_t port = 0;
  friend auto operator<=>(const Address&, const Address&) = default;
};

inline auto Ip(int a, int b, int c) -> std::uint32_t {
  return 127U << 24 | static_cast<std::uint32_t>(a) << 16 |
         static_cast<std::uint32_t>(b) << 8 | static_cast<std::uint32_t>(c);
}

inline auto IpText(std::uint32_t ip) -> std::string {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255);
}

inline auto Text(const Address& address) -> std::string {
  return IpText(address.ip) + ":" + std::to_string(address.port);
}

inline auto ToSockaddr(const Address& address) -> sockaddr_in {
  auto result = sockaddr_in{};
  result.sin_family = AF_INET;
  result.sin_addr.s_addr = htonl(address.ip);
  result.sin_port = htons(address.port);
  return result;
}

inline void NonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  fcntl(fd, F_SETFD, FD_CLOEXEC);
}

inline auto Bind(int type, const Address& address) -> int {
  const auto fd = socket(AF_INET, type, 0);
  const auto on = 1;
  if (type == SOCK_STREAM) {
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  }
  const auto at = ToSockaddr(address);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
    throw std::runtime_error("cannot bind " + Text(address));
  }
  if (type == SOCK_STREAM && listen(fd, 128) != 0) {
    throw std::runtime_error("cannot listen at " + Text(address));
  }
  NonBlocking(fd);
  return fd;
}

// A port that is free for UDP and TCP at 127.0.0.1 now.
inline auto FreePort() -> std::uint16_t {
  for (auto attempt = 0; attempt < 50; ++attempt) {
    const auto fd = Bind(SOCK_STREAM, {Ip(0, 0, 1), 0});
    auto at = sockaddr_in{};
    auto size = socklen_t{sizeof(at)};
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    const auto port = ntohs(at.sin_port);
    close(fd);
    try {
      close(Bind(SOCK_DGRAM, {Ip(0, 0, 1), port}));
      return port;
    } catch (const std::runtime_error&) {
    }
  }
  throw std::runtime_error("no free port");
}

class Loop {
 public:
  using Action = std::function<void()>;

  // Milliseconds since the loop was made.
  [[nodiscard]] auto Now() const -> double { return Clock() - start_; }

  void At(double time, Action action) {
    timers_.emplace(time, std::move(action));
  }
  void After(double wait, Action action) {
    At(Now() + wait, std::move(action));
  }

  void OnReadable(int fd, Action action) { readers_[fd] = std::move(action); }
  void Forget(int fd) { readers_.erase(fd); }
  void Stop() { stopped_ = true; }

  void Run() {
    while (!stopped_) {
      while (!timers_.empty() && timers_.begin()->first <= Now()) {
        auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
      }
      auto polled = std::vector<pollfd>();
      for (const auto& [fd, action] : readers_) {
        polled.push_back({fd, POLLIN, 0});
      }
      auto wait = 20.0;
      if (!timers_.empty()) {
        wait = std::min(wait, std::max(0.0, timers_.begin()->first - Now()));
      }
      // A timer is not run early: the rest of a millisecond is waited for too.
      auto time = timespec{0, static_cast<long>(wait * 1e6)};
      ppoll(polled.data(), polled.size(), &time, nullptr);
      for (const auto& entry : polled) {
        const auto found = readers_.find(entry.fd);
        if (entry.revents != 0 && found != readers_.end()) {
          const auto action = found->second;
          action();
        }
      }
    }
  }

 private:
  static auto Clock() -> double {
    auto time = timespec{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) * 1e3 +
           static_cast<double>(time.tv_nsec) / 1e6;
  }

  const double start_ = Clock();
  bool stopped_ = false;
  std::multimap<double, Action> timers_;
  std::map<int, Action> readers_;
};

// Passes a TCP connection on to another address. While it is cut, no byte
// passes in either direction and nothing is reset.
class Proxy {
 public:
  Proxy(Loop& loop, const Address& at, const Address& target)
      : loop_(loop), target_(target), listener_(Bind(SOCK_STREAM, at)) {
    Watch();
  }

  void SetCut(bool cut) {
    if (cut == cut_) {
      return;
    }
    cut_ = cut;
    if (cut) {
      loop_.Forget(listener_);
      for (const auto& [from, to] : pairs_) {
        loop_.Forget(from);
      }
    } else {
      Watch();
      for (const auto& [from, to] : pairs_) {
        WatchEnd(from);
      }
    }
  }

 private:
  void Watch() {
    loop_.OnReadable(listener_, [this] { Accept(); });
  }

  void Accept() {
    const auto from = accept(listener_, nullptr, nullptr);
    if (from < 0) {
      return;
    }
    const auto to = socket(AF_INET, SOCK_STREAM, 0);
    const auto at = ToSockaddr(target_);
    fcntl(to, F_SETFD, FD_CLOEXEC);
    // On the loopback a connection is made or refused at once.
    if (connect(to, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
      auto reset = linger{1, 0};
      setsockopt(from, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      close(from);
      close(to);
      return;
    }
    const auto on = 1;
    for (const auto fd : {from, to}) {
      NonBlocking(fd);
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    pairs_[from] = to;
    pairs_[to] = from;
    WatchEnd(from);
    WatchEnd(to);
  }

  void WatchEnd(int fd) {
    loop_.OnReadable(fd, [this, fd] { Pass(fd); });
  }

  void Pass(int from) {
    const auto to = pairs_.at(from);
    char bytes[65536];
    const auto size = recv(from, bytes, sizeof(bytes), 0);
    if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
      return;
    }
    auto sent = ssize_t{0};
    while (size > 0 && sent < size) {
      const auto more = send(to, bytes + sent, size - sent, MSG_NOSIGNAL);
      if (more < 0 && errno == EAGAIN) {
        usleep(200);
        continue;
      }
      if (more <= 0) {
        break;
      }
      sent += more;
    }
    if (size <= 0 || sent < size) {
      for (const auto fd : {from, to}) {
        loop_.Forget(fd);
        pairs_.erase(fd);
        close(fd);
      }
    }
  }

  Loop& loop_;
  const Address target_;
  const int listener_;
  bool cut_ = false;
  std::map<int, int> pairs_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_2_NET_H_
