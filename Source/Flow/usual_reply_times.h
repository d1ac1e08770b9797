#ifndef HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_
#define HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/by_service.h"

namespace hemlockwick {

// A reply in comparison with others of its service address.
struct ReplyComparison {
  Duration usual_time{0};  // Mean of its service address.
  double ratio = 1;        // Its own time by the mean.
};

// Mean time that a service address takes to reply, over all of its endpoints,
// for comparing endpoints whose flows have different kinds of requests.
class UsualReplyTimes {
 public:
  auto Add(const SocketAddress& service, Duration time) -> ReplyComparison {
    // Replies that the mean covers.
    constexpr std::uint32_t kReplies = 256;
    auto& usual = by_service_.FindOrAdd(service);
    usual.replies = std::min(usual.replies + 1, kReplies);
    const auto seconds = std::chrono::duration<double>(time).count();
    usual.seconds += (seconds - usual.seconds) / usual.replies;
    return {std::chrono::duration_cast<Duration>(
                std::chrono::duration<double>(usual.seconds)),
            usual.seconds > 0 ? seconds / usual.seconds : 1.0};
  }

 private:
  struct Usual {
    double seconds = 0;
    std::uint32_t replies = 0;
  };

  ByService<SocketAddress, Usual> by_service_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_USUAL_REPLY_TIMES_H_
