#ifndef HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_

#include <algorithm>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_health.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// What several instances suspect an endpoint of.
enum class Suspicion : std::uint8_t {
  kSilent,   // It answers nothing, and no other instance has heard from it.
  kFailing,  // It leaves requests unanswered; others it may answer.
};

// An endpoint that several instances suspect.
struct SharedSuspect {
  FlowToken token;
  TimePoint at;  // Of the latest report.
  Suspicion suspicion = Suspicion::kSilent;
};

inline void AddOnce(std::vector<FlowToken>& tokens, FlowToken token) {
  if (std::ranges::find(tokens, token) == tokens.end()) {
    tokens.push_back(token);
  }
}

// What an instance tells others about endpoints.
struct EndpointObservations {
  std::vector<FlowToken> silent;  // Left packets unanswered.
  std::vector<FlowToken> alive;   // Suspect to others, but answered here.
  // Did not answer a request in time.
  std::vector<FlowToken> failing;

  [[nodiscard]] auto empty() const -> bool {
    return silent.empty() && alive.empty() && failing.empty();
  }

  // Adds other news; each endpoint is named once.
  void Merge(const EndpointObservations& more) {
    MergeTokens(silent, more.silent);
    MergeTokens(alive, more.alive);
    MergeTokens(failing, more.failing);
  }

 private:
  static void MergeTokens(std::vector<FlowToken>& all,
                          const std::vector<FlowToken>& more) {
    for (const auto token : more) {
      AddOnce(all, token);
    }
  }
};

// What this instance knows of an endpoint from the flows it forwards.
struct EndpointStats {
  explicit EndpointStats(TimePoint now) : health(now) {}

  EndpointHealth health;
  std::uint32_t open_flows = 0;     // Tracked flows of the endpoint.
  std::uint32_t waiting_flows = 0;  // Those with an unanswered packet.
  Duration reply_time{0};           // Smoothed time to the first reply byte.

  void AddReplyTime(Duration time) {
    constexpr int kSmoothing = 8;  // Weight of one reply: 1/8.
    reply_time += (time - reply_time) / kSmoothing;
  }
};

// Loads by the endpoint's token. Owned by one traffic thread.
using EndpointStatsMap = std::unordered_map<FlowToken, EndpointStats>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_STATS_H_
