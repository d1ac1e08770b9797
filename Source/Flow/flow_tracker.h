#ifndef HEMLOCKWICK_FLOW_FLOW_TRACKER_H_
#define HEMLOCKWICK_FLOW_FLOW_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/answered_requests.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_stats.h"
#include "Flow/flow_token.h"
#include "Flow/observation_clock.h"
#include "Flow/pending_replies.h"
#include "Flow/reply_collector.h"
#include "Flow/router_event_buffer.h"
#include "Flow/token_types.h"
#include "Flow/tracked_flows.h"
#include "Flow/usual_reply_times.h"

namespace hemlockwick {

// An earlier copy of an opening that this instance has forwarded.
struct EarlierCopy {
  FlowToken endpoint;
  // Whether the endpoint may have accepted it, so that a copy which goes
  // elsewhere may open the flow twice.
  bool may_be_accepted = true;
};

// Derives the state of endpoints from the packets of their flows: open work,
// reply times and unanswered packets. Only hints: any of it may be lost at any
// time. Used by one traffic thread only.
class FlowTracker {
 public:
  // Tracks up to `capacity` flows for `instance`. `events` must outlive it.
  // Replies are summed up for other instances only with `collects_replies`.
  FlowTracker(InstanceId instance, std::size_t capacity,
              RouterEventBuffer& events, bool collects_replies = false);

  // Handles an opening. Returns the endpoint of an earlier copy of it; nullopt
  // if there is none.
  auto OnOpening(const TokenPacket& packet, TimePoint now)
      -> std::optional<EarlierCopy>;

  // Records the endpoint to which an opening was forwarded.
  void OnOpeningForwarded(const TokenPacket& packet, FlowToken token,
                          TimePoint now);

  // The token of the flow's owner when the packet names another endpoint;
  // otherwise nullopt. See flow_owner.h.
  auto CorrectedToken(const TokenPacket& packet) -> std::optional<FlowToken>;

  // Handles a packet of an open flow of the endpoint. If the flow is to be
  // reset, which happens only with `may_reset`, returns how long its endpoint
  // has been silent.
  auto OnPacket(const TokenPacket& packet, FlowToken token, bool may_reset,
                TimePoint now) -> std::optional<Duration>;

  // Handles the end of a flow.
  void OnEnded(const FlowId& id);

  // Checks for packets that have had no reply; see TokenRouter::OnTick.
  // `directory` may be null.
  auto OnTick(const DirectorySnapshot* directory, TimePoint now)
      -> std::vector<ResetFlow>;

  // Resets the established flows of a departed endpoint.
  auto ResetDeparted(FlowToken token) -> std::vector<ResetFlow>;

  // Applies the suspicions that several instances share.
  void ApplySharedSuspects(const std::vector<SharedSuspect>& suspects,
                           const DirectorySnapshot& directory, TimePoint now);

  // Whether this instance has seen the flow lately.
  [[nodiscard]] auto IsTracked(const FlowId& id) -> bool;

  // Whether new flows should avoid the endpoint; see EndpointHealth.
  [[nodiscard]] auto IsSuspect(FlowToken token, TimePoint now) const -> bool;

  // Whether the endpoint has answered recently.
  [[nodiscard]] auto IsAlive(FlowToken token, TimePoint now) const -> bool;

  // Whether the endpoint has answered after `time`.
  [[nodiscard]] auto HasAnsweredAfter(FlowToken token, TimePoint time) const
      -> bool;

  // The endpoint's stats. If there were none, creates them with `now` as the
  // time of the last reply.
  auto StatsOf(FlowToken token, TimePoint now) -> EndpointStats&;

  // Whether each answer is an event from now on, for a detailed log.
  void set_reports_answers(bool reports_answers) {
    reports_answers_ = reports_answers;
  }

  // Observations for other instances since the last call.
  [[nodiscard]] auto TakeObservations() -> EndpointObservations;
  // Replies of each endpoint since the last report; see ReplyCollector.
  [[nodiscard]] auto TakeReplySummaries(TimePoint now)
      -> std::vector<ReplySummary> {
    return collected_replies_.Take(endpoint_stats_, now);
  }
  [[nodiscard]] auto TakeReplySamples() -> std::vector<ReplySample>;

  [[nodiscard]] auto endpoint_stats() const -> const EndpointStatsMap& {
    return endpoint_stats_;
  }
  // Number of unanswered packets that counted in EndpointHealth.
  [[nodiscard]] auto unanswered_packets() const -> std::uint64_t {
    return unanswered_packets_;
  }
  // Number of requests that had no answer in time.
  [[nodiscard]] auto unanswered_requests() const -> std::uint64_t {
    return unanswered_requests_;
  }

 private:
  [[nodiscard]] auto IsSilent(const EndpointStats& stats, TimePoint now) const
      -> bool;
  [[nodiscard]] auto IsServedElsewhere(Ipv4Address caller,
                                       const EndpointHealth& health,
                                       TimePoint now) const -> bool;
  auto Track(const TokenPacket& packet, TimePoint now) -> TrackedFlow&;
  [[nodiscard]] auto MayBeAccepted(const TrackedFlow& flow) const -> bool;
  void Forget(TrackedFlow& flow);
  void Establish(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void ProcessPacket(TrackedFlow& flow, const TokenPacket& packet,
                     TimePoint now);
  void ProcessData(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void SetToken(TrackedFlow& flow, FlowToken token, TimePoint now);
  void StartWaiting(TrackedFlow& flow, TimePoint now);
  void StopWaiting(TrackedFlow& flow);
  void Release(TrackedFlow& flow);
  void Untrack(TrackedFlow& flow);
  void UntrackIdle(const DirectorySnapshot* directory, TimePoint now);
  void RecordAnswer(const TrackedFlow& flow, TimePoint now);
  void RecordReply(FlowToken token, TimePoint now);
  [[nodiscard]] auto HadTimeForReply(const TrackedFlow& flow) const -> bool;
  void RecordUnanswered(TrackedFlow& flow, UnansweredPacket packet,
                        TimePoint now);
  void RecordSharedFailure(EndpointHealth& health, const SharedSuspect& suspect,
                           TimePoint now);
  void DetectSuspension(TimePoint now);
  void CheckOpenings(TimePoint now);
  void CheckRequests(TimePoint now);
  auto CheckSilent(const DirectorySnapshot& directory, TimePoint now)
      -> std::vector<ResetFlow>;
  auto ResetSilent(FlowToken token, const DirectorySnapshot& directory,
                   TimePoint now) -> std::vector<ResetFlow>;
  auto ResetTracked(TrackedFlow& flow, ResetReason reason, Duration age)
      -> ResetFlow;
  [[nodiscard]] auto RetryJitter(const SharedSuspect& suspect) const -> double;

  const InstanceId instance_;
  TrackedFlows flows_;
  RouterEventBuffer& events_;
  EndpointStatsMap endpoint_stats_;
  UsualReplyTimes usual_reply_times_;
  PendingReplies openings_;
  PendingReplies requests_;
  std::vector<FlowToken> maybe_silent_;  // They left data unanswered.
  EndpointObservations observations_;
  std::vector<ReplySample> reply_samples_;
  const bool collects_replies_;
  ReplyCollector collected_replies_;
  bool reports_answers_ = false;
  std::uint64_t unanswered_packets_ = 0;
  std::uint64_t unanswered_requests_ = 0;
  ObservationClock clock_;
  std::optional<TimePoint> settled_at_;  // Nothing before the first tick.
  AnsweredRequests answered_;
  // The same for each caller that has had an answer lately.
  std::unordered_map<Ipv4Address, AnsweredRequests> answered_by_caller_;
  TimePoint next_sweep_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_TRACKER_H_
