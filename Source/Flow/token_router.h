#ifndef HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
#define HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"
#include "Flow/endpoint_load.h"
#include "Flow/flow_token.h"
#include "Flow/token_types.h"
#include "Flow/tracked_flows.h"

namespace hemlockwick {

struct TokenRouterCounters {
  std::uint64_t opened = 0;       // Openings forwarded, copies included.
  std::uint64_t reopened = 0;     // Copies among them.
  std::uint64_t established = 0;  // First packets of open flows.
  std::uint64_t signs = 0;        // Unanswered packets that counted.
  std::uint64_t notes_lost = 0;   // Notes beyond the bound.
};

struct TokenRouterSettings {
  DataCentreId data_centre;
  // Flows watched for signs of dead endpoints; about 100 bytes each.
  std::size_t tracked_flows = 8192;
};

// Decides packets of flows that carry their endpoint. Needs no state shared
// with other instances and none that outlives the process; what it tracks
// only improves the choice of endpoints. One traffic thread owns it.
class TokenRouter {
 public:
  explicit TokenRouter(const TokenRouterSettings& settings);

  // Takes a new directory; returns the resets of flows whose endpoint left.
  auto Update(std::shared_ptr<const DirectorySnapshot> directory, TimePoint now)
      -> std::vector<ResetFlow>;

  auto Decide(const TokenPacket& packet, TimePoint now) -> TokenAction;

  // To be called often, and only when all packets that have arrived were
  // decided: judges packets that had no reply. Returns resets of flows of
  // endpoints found silent.
  auto OnTick(TimePoint now) -> std::vector<ResetFlow>;

  // Takes what other instances have found.
  void NoteShared(const std::vector<SharedSuspect>& suspects, TimePoint now);

  // What other instances should know since the last call.
  [[nodiscard]] auto TakeNews() -> EndpointNews;

  // Notes since the last call.
  [[nodiscard]] auto TakeNotes() -> std::vector<RouterNote>;
  [[nodiscard]] auto TakeReplies() -> std::vector<ReplySample>;

  // What decisions are based on; null before the first Update.
  [[nodiscard]] auto directory() const -> const DirectorySnapshot* {
    return directory_.get();
  }
  [[nodiscard]] auto counters() const -> const TokenRouterCounters& {
    return counters_;
  }
  [[nodiscard]] auto loads() const -> const EndpointLoads& { return loads_; }

 private:
  // An opening whose reply is due.
  struct PendingOpening {
    FlowKey flow;
    FlowToken token;
    TimePoint sent_at;
  };

  auto Open(const TokenPacket& packet, const Route& route, TimePoint now)
      -> TokenAction;
  auto Continue(const TokenPacket& packet, TimePoint now) -> TokenAction;
  auto ToDeparted(const TokenPacket& packet, const DepartedEndpoint& endpoint,
                  TimePoint now) -> TokenAction;
  auto ToUnknown(const TokenPacket& packet, TimePoint now) -> TokenAction;
  auto Forward(const TokenPacket& packet, const EndpointReport& endpoint,
               TimePoint now) -> TokenAction;
  [[nodiscard]] auto IsGone(const DepartedEndpoint& endpoint,
                            TimePoint now) const -> bool;
  auto Reset(const TokenPacket& packet, ResetReason reason, Duration age)
      -> TokenAction;
  auto Drop(const TokenPacket& packet, DropReason reason) -> TokenAction;

  auto Track(const TokenPacket& packet, TimePoint now) -> TrackedFlow&;
  void Establish(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void NotePacket(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  void NoteData(TrackedFlow& flow, const TokenPacket& packet, TimePoint now);
  auto LoadOf(FlowToken token, TimePoint now) -> EndpointLoad&;
  void SetToken(TrackedFlow& flow, FlowToken token, TimePoint now);
  void StartWaiting(TrackedFlow& flow, TimePoint now);
  void StopWaiting(TrackedFlow& flow);
  void Release(TrackedFlow& flow);
  void Forget(TrackedFlow& flow);
  void ForgetIdle(TimePoint now);
  void NoteAlive(FlowToken token, TimePoint now);
  void NoteSilence(TrackedFlow& flow, SilentPacket packet, TimePoint now);
  void CheckSuspension(TimePoint now);
  auto ResetTracked(FlowToken token, ResetReason reason, TimePoint silent_since)
      -> std::vector<ResetFlow>;
  void AddNote(const RouterNote& note);

  const TokenRouterSettings settings_;
  std::shared_ptr<const DirectorySnapshot> directory_;
  TrackedFlows flows_;
  EndpointLoads loads_;
  std::deque<PendingOpening> pending_;
  std::vector<FlowToken> newly_silent_;
  EndpointNews news_;
  std::unordered_map<FlowToken, TimePoint> unknown_since_;
  std::vector<RouterNote> notes_;
  std::vector<ReplySample> replies_;
  TokenRouterCounters counters_;
  TimePoint last_tick_;
  TimePoint next_sweep_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TOKEN_ROUTER_H_
