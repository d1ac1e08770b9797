#ifndef HEMLOCKWICK_FLOW_PENDING_REPLIES_H_
#define HEMLOCKWICK_FLOW_PENDING_REPLIES_H_

#include <deque>

#include "Core/time.h"
#include "Flow/flow_id.h"
#include "Flow/flow_token.h"
#include "Flow/tracked_flows.h"

namespace hemlockwick {

// Packets that expect a reply within a time limit.
class PendingReplies {
 public:
  // Packets must be added in the order of `sent_at`.
  void Add(const FlowId& flow, FlowToken token, TimePoint sent_at) {
    pending_.push_back({flow, token, sent_at});
  }

  // Calls `visit` with each flow whose packet was sent `time` ago or earlier
  // and that still waits for the reply. Each packet is checked once.
  template <typename Visit>
  void ForEachOverdue(TrackedFlows& flows, Duration time, TimePoint now,
                      Visit&& visit) {
    while (!pending_.empty() && now - pending_.front().sent_at >= time) {
      const auto reply = pending_.front();
      pending_.pop_front();
      auto* const flow = flows.Find(reply.flow);
      if (flow != nullptr && flow->waiting && flow->token == reply.token &&
          flow->waiting_since == reply.sent_at) {
        visit(*flow);
      }
    }
  }

  void Clear() { pending_.clear(); }

 private:
  struct Pending {
    FlowId flow;
    FlowToken token;
    TimePoint sent_at;
  };

  std::deque<Pending> pending_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_PENDING_REPLIES_H_
