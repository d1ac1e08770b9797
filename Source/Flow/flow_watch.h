#ifndef HEMLOCKWICK_FLOW_FLOW_WATCH_H_
#define HEMLOCKWICK_FLOW_FLOW_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_load.h"
#include "Flow/flow_token.h"
#include "Flow/pending_replies.h"
#include "Flow/router_notes.h"
#include "Flow/token_types.h"
#include "Flow/tracked_flows.h"

namespace hemlockwick {

// What the packets of flows tell of their endpoints: open work, reply times,
// silence. Hints only; all of it may be lost at any time. One traffic thread
// owns it.
class FlowWatch {
 public:
  // Watches up to `capacity` flows for `instance`. `notes` must outlive it.
  FlowWatch(InstanceId instance, std::size_t capacity, RouterNotes& notes);

  // Takes an opening. Returns the endpoint that has not answered an earlier
  // copy; kNoToken if there is none.
  auto OnOpening(const TokenPacket& packet, TimePoint now) -> FlowToken;

  // Takes where an opening was sent.
  void OnOpened(const TokenPacket& packet, FlowToken token, TimePoint now);

  // Takes a packet of an open flow of the endpoint. When the flow is to be
  // reset, which `may_reset` allows, returns how long its endpoint has been
  // silent.
  auto OnPacket(const TokenPacket& packet, FlowToken token, bool may_reset,
                TimePoint now) -> std::optional<Duration>;

  // Takes the end of a flow.
  void OnEnded(FlowKey key);

  // Judges packets that had no reply; see TokenRouter::OnTick. `directory` may
  // be null.
  auto OnTick(const DirectorySnapshot* directory, TimePoint now)
      -> std::vector<ResetFlow>;

  // Ends the flows of a departed endpoint.
  auto ResetDeparted(FlowToken token) -> std::vector<ResetFlow>;

  // Takes what other instances have found.
  void NoteShared(const std::vector<SharedSuspect>& suspects,
                  const DirectorySnapshot& directory, TimePoint now);

  // Whether the endpoint has answered a moment ago.
  [[nodiscard]] auto IsAlive(FlowToken token, TimePoint now) const -> bool;

  // The endpoint's load; if there was none, one that was last alive at `now`.
  auto LoadOf(FlowToken token, TimePoint now) -> EndpointLoad&;

  // What other instances should know since the last call.
  [[nodiscard]] auto TakeNews() -> EndpointNews;
  [[nodiscard]] auto TakeReplies() -> std::vector<ReplySample>;

  [[nodiscard]] auto loads() const -> const EndpointLoads& { return loads_; }
  // Unanswered packets that counted.
  [[nodiscard]] auto signs() const -> std::uint64_t { return signs_; }
  // Requests that had no answer in time.
  [[nodiscard]] auto unanswered() const -> std::uint64_t { return unanswered_; }

 private:
  auto Track(const TokenPacket& packet, TimePoint now) -> TrackedFlow&;
  void Establish(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void NotePacket(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void NoteData(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void SetToken(TrackedFlow& flow, FlowToken token, TimePoint now);
  void StartWaiting(TrackedFlow& flow, TimePoint now);
  void StopWaiting(TrackedFlow& flow);
  void Release(TrackedFlow& flow);
  void Forget(TrackedFlow& flow);
  void ForgetIdle(const DirectorySnapshot* directory, TimePoint now);
  void NoteAlive(FlowToken token, TimePoint now);
  void NoteSilence(TrackedFlow& flow, SilentPacket packet, TimePoint now);
  void NoteFailing(EndpointSigns& signs, const SharedSuspect& suspect,
                   TimePoint now);
  void CheckSuspension(TimePoint now);
  void JudgeOpenings(TimePoint now);
  void JudgeRequests(TimePoint now);
  auto ResetSilent(FlowToken token, const DirectorySnapshot& directory,
                   TimePoint now) -> std::vector<ResetFlow>;
  auto ResetTracked(TrackedFlow& flow, ResetReason reason) -> ResetFlow;
  [[nodiscard]] auto TurnAt(const SharedSuspect& suspect) const -> double;

  const InstanceId instance_;
  TrackedFlows flows_;
  RouterNotes& notes_;
  EndpointLoads loads_;
  PendingReplies openings_;
  PendingReplies requests_;
  std::vector<FlowToken> newly_silent_;
  EndpointNews news_;
  std::vector<ReplySample> replies_;
  std::uint64_t signs_ = 0;
  std::uint64_t unanswered_ = 0;
  TimePoint last_tick_;
  std::optional<TimePoint> settled_at_;  // Nothing before the first tick.
  TimePoint next_sweep_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_WATCH_H_
