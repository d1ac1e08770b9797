#include "loop.h"

#include <poll.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace review {

auto Loop::Now() const -> Seconds {
  const auto elapsed = std::chrono::steady_clock::now() - start_;
  return std::chrono::duration<double>(elapsed).count();
}

void Loop::After(Seconds delay, Action action) {
  timers_.emplace(Now() + delay, std::move(action));
}

void Loop::Every(Seconds interval, const Action& action) {
  After(interval, [this, interval, action] {
    action();
    Every(interval, action);
  });
}

void Loop::OnReadable(int fd, Action action) {
  readable_[fd] = std::move(action);
}

void Loop::OnWritable(int fd, Action action) {
  writable_[fd] = std::move(action);
}

void Loop::Forget(int fd) {
  readable_.erase(fd);
  writable_.erase(fd);
}

void Loop::RunUntil(Seconds end) {
  constexpr auto kMaxWait = 0.05;
  while (Now() < end) {
    while (!timers_.empty() && timers_.begin()->first <= Now()) {
      const auto action = timers_.begin()->second;
      timers_.erase(timers_.begin());
      action();
    }
    auto polled = std::vector<pollfd>();
    for (const auto& [fd, action] : readable_) {
      polled.push_back({fd, POLLIN, 0});
    }
    for (const auto& [fd, action] : writable_) {
      polled.push_back({fd, POLLOUT, 0});
    }
    auto wait = kMaxWait;
    if (!timers_.empty()) {
      wait = std::clamp(timers_.begin()->first - Now(), 0.0, kMaxWait);
    }
    const auto millis = static_cast<int>(wait * 1000);
    if (poll(polled.data(), polled.size(), millis) <= 0) {
      continue;
    }
    for (const auto& entry : polled) {
      if (entry.revents == 0) {
        continue;
      }
      auto& actions = entry.events == POLLIN ? readable_ : writable_;
      const auto found = actions.find(entry.fd);
      if (found == actions.end()) {
        continue;
      }
      const auto action = found->second;
      if (entry.events == POLLOUT) {
        actions.erase(found);
      }
      action();
    }
  }
}

}  // namespace review
