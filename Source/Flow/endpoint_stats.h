#ifndef HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_health.h"
#include "Flow/endpoint_speed.h"
#include "Flow/flow_token.h"
#include "Flow/usual_reply_times.h"

namespace hemlockwick {

// Why several instances suspect an endpoint.
enum class Suspicion : std::uint8_t {
  kSilent,   // No packet is answered, at any instance.
  kFailing,  // Some requests are not answered.
};

// An endpoint that several instances suspect.
struct SharedSuspect {
  FlowToken token;
  TimePoint at;  // Time of the latest report.
  Suspicion suspicion = Suspicion::kSilent;
};

inline void AddOnce(std::vector<FlowToken>& tokens, FlowToken token) {
  if (std::ranges::find(tokens, token) == tokens.end()) {
    tokens.push_back(token);
  }
}

// What an instance has observed of endpoints and reports to other instances.
struct EndpointObservations {
  std::vector<FlowToken> silent;  // Left packets unanswered.
  std::vector<FlowToken> alive;   // Suspected by others, but answered here.
  // Left a request unanswered until the timeout.
  std::vector<FlowToken> failing;
  std::vector<ReplySummary> replies{};  // One for each endpoint.

  [[nodiscard]] auto empty() const -> bool {
    return silent.empty() && alive.empty() && failing.empty() &&
           replies.empty();
  }

  // Adds the observations of `more`, without duplicates.
  void Merge(const EndpointObservations& more) {
    MergeTokens(silent, more.silent);
    MergeTokens(alive, more.alive);
    MergeTokens(failing, more.failing);
    MergeReplies(more.replies);
  }

 private:
  static void MergeTokens(std::vector<FlowToken>& all,
                          const std::vector<FlowToken>& more) {
    for (const auto token : more) {
      AddOnce(all, token);
    }
  }

  void MergeReplies(const std::vector<ReplySummary>& more) {
    for (const auto& summary : more) {
      const auto found =
          std::ranges::find(replies, summary.token, &ReplySummary::token);
      if (found == replies.end()) {
        replies.push_back(summary);
        continue;
      }
      const auto total = found->replies + summary.replies;
      if (total > 0) {
        found->ratio +=
            (summary.ratio - found->ratio) * summary.replies / total;
      }
      found->replies = total;
    }
  }
};

// State of an endpoint, as seen from the flows that this instance forwards.
struct EndpointStats {
  explicit EndpointStats(TimePoint now) : health(now) {}

  EndpointHealth health;
  // When the data of EndpointHealth::silent_data_sent_at was sent, by
  // AnsweredRequests::AnsweredTimeAt.
  Duration unanswered_since{0};
  // When the latest opening that the endpoint has accepted was forwarded to it,
  // by the ObservationClock.
  std::optional<Duration> accepted_opening_sent_at;
  std::uint32_t open_flows = 0;     // Tracked flows of the endpoint.
  std::uint32_t waiting_flows = 0;  // Those with an unanswered packet.
  // Smoothed ratio of reply times to the usual ones of their service address.
  double slowness = 1.0;
  std::uint32_t replies = 0;  // That `slowness` covers.
  // Replies since the last report of a ReplyCollector, and the sum of their
  // ratios.
  std::uint32_t unreported_replies = 0;
  double unreported_ratios = 0;

  void AddReply(const ReplyComparison& reply) {
    // A single long request must not count for more than this.
    constexpr double kMaxRatio = 4.0;
    replies = std::min(replies + 1, kMaxReplies);
    slowness += (std::min(reply.ratio, kMaxRatio) - slowness) / replies;
    health.SetUsualReplyTime(reply.usual_time);
  }
  static constexpr std::uint32_t kMaxReplies = 16;
};

// Stats by endpoint token. Used by one traffic thread only.
using EndpointStatsMap = std::unordered_map<FlowToken, EndpointStats>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_
