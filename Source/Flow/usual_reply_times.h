#ifndef HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_
#define HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <unordered_map>

#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// Mean time that a service address takes to reply, over all of its endpoints,
// for comparing endpoints whose flows have different kinds of requests.
class UsualReplyTimes {
 public:
  // Records a reply. Returns its time relative to the mean.
  auto Add(const SocketAddress& service, Duration time) -> double {
    // Replies that the mean covers.
    constexpr std::uint32_t kReplies = 256;
    auto& usual = by_service_[service];
    usual.replies = std::min(usual.replies + 1, kReplies);
    const auto seconds = std::chrono::duration<double>(time).count();
    usual.seconds += (seconds - usual.seconds) / usual.replies;
    return usual.seconds > 0 ? seconds / usual.seconds : 1.0;
  }

 private:
  struct Usual {
    double seconds = 0;
    std::uint32_t replies = 0;
  };

  std::unordered_map<SocketAddress, Usual> by_service_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_
