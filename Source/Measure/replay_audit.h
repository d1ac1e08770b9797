#ifndef HEMLOCKWICK_MEASURE_REPLAY_AUDIT_H_
#define HEMLOCKWICK_MEASURE_REPLAY_AUDIT_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Measure/replay_outcome.h"
#include "Measure/request_trace.h"
#include "Request/request_types.h"

namespace hemlockwick {

// Watches a replay from outside the decision code: which runs began, which
// answers exist, and what callers were told.
class ReplayAudit {
 public:
  explicit ReplayAudit(const RequestTrace& trace);

  // The id of the `repeat`-th time that a caller asks for a request.
  [[nodiscard]] auto IdOf(std::size_t index, std::size_t repeat) const
      -> RequestId;
  [[nodiscard]] auto IndexOf(RequestId id) const -> std::size_t;
  [[nodiscard]] auto RepeatOf(RequestId id) const -> std::size_t;

  void OnRunStarted(RequestId id, std::uint32_t attempt, TimePoint now);

  // The endpoint's whole answer reached the instance.
  void OnWholeAnswer(RequestId id, std::uint32_t attempt);

  void OnDelivered(RequestId id, std::uint32_t attempt, TimePoint now);
  void OnRefused(RequestId id, RefusalReason reason);

  // The caller left or lost its instance: it expects nothing any more.
  void OnCallerGone(RequestId id) { Expect(id).gone = true; }
  void OnArrived(RequestId id) { Expect(id); }

  // Checks what must hold at the end and hands out the findings.
  void Finish(ReplayOutcome& outcome);

 private:
  struct Conversation {
    TimePoint started;  // Start of the latest run.
    std::uint32_t runs = 0;
    std::uint32_t finals = 0;
    std::uint32_t answer = 0;  // Attempt of which a whole answer exists.
    bool refused_not_run = false;
    bool gone = false;
  };

  auto Expect(RequestId id) -> Conversation& { return talks_[id]; }

  const RequestTrace& trace_;
  std::unordered_map<RequestId, Conversation> talks_;
  std::vector<RequestFate> fates_;
  ReplayFaultCounts faults_;
};

// When a replay starts.
inline constexpr TimePoint kReplayStart = TimePoint(std::chrono::hours(1'000));

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REPLAY_AUDIT_H_
