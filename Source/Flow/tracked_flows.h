#ifndef HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_
#define HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "Core/time.h"
#include "Flow/flow_id.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// Number of times that a caller sends an opening.
inline constexpr std::size_t kMaxOpeningCopies = 3;

// What this instance has seen of a flow. Only a hint: the packets themselves
// carry the token of the endpoint, and any of this may be lost at any time.
struct TrackedFlow {
  FlowId id;
  FlowToken token;  // Until established: endpoint of the last opening packet.
  // Endpoints to which the copies of its opening were forwarded here.
  std::array<FlowToken, kMaxOpeningCopies> opening_tokens{};
  FlowToken owner;  // Endpoint that has the flow, once known; see flow_owner.h.
  // When the opening was first forwarded to `token`, by the ObservationClock.
  Duration opening_sent_at{0};
  std::uint32_t last_ack = 0;  // Highest byte that the caller has received.
  std::uint32_t next_seq = 0;  // First byte that the caller has not sent yet.
  TimePoint last_seen;
  TimePoint waiting_since;   // First packet that has had no reply.
  Duration last_sent_at{0};  // Opening or new data, by the ObservationClock.
  // When the wait began, by AnsweredRequests::AnsweredTimeAt.
  Duration answered_time{0};
  std::uint16_t waiting_packets = 0;
  bool established = false;
  bool answered = false;  // The caller has received data of its endpoint.
  bool waiting = false;
  bool counted_unanswered = false;  // This wait has counted as unanswered.
  bool closed = false;              // The caller has ended it.
  bool is_tracked = false;          // False in a free slot.
};

// Tracked flows in a fixed amount of memory, as a set-associative table. When a
// set of slots is full, the flow that was idle longest is evicted. Flows whose
// keys are equal share a set but are told apart.
class TrackedFlows {
 public:
  // Room for `capacity` flows, rounded up to a power of two.
  explicit TrackedFlows(std::size_t capacity);

  [[nodiscard]] auto Find(const FlowId& id) -> TrackedFlow*;

  // Returns the flow's slot, a new one if it was not tracked. Calls `evicted`
  // with the flow that is evicted for it, if any.
  template <typename Evicted>
  auto FindOrAdd(const FlowId& id, Evicted&& evicted) -> TrackedFlow& {
    auto& slot = SlotFor(id);
    if (!slot.is_tracked || slot.id != id) {
      if (slot.is_tracked) {
        evicted(slot);
      }
      slot = TrackedFlow();
      slot.id = id;
      slot.is_tracked = true;
    }
    return slot;
  }

  static void Remove(TrackedFlow& flow) { flow = TrackedFlow(); }

  template <typename Visit>
  void ForEach(Visit&& visit) {
    for (auto& slot : slots_) {
      if (slot.is_tracked) {
        visit(slot);
      }
    }
  }

 private:
  auto SlotFor(const FlowId& id) -> TrackedFlow&;

  std::vector<TrackedFlow> slots_;
  std::uint64_t set_mask_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_
