#ifndef HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_
#define HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/flow_token.h"

namespace hemlockwick {

// What this instance has seen of a flow. Only a hint: the packets themselves
// carry the token of the endpoint, and any of this may be lost at any time.
struct TrackedFlow {
  FlowKey key;  // Zero in a free slot.
  SocketAddress caller;
  SocketAddress service;
  FlowToken token;  // Until established: endpoint of the last opening packet.
  std::uint32_t last_ack = 0;  // Highest byte that the caller has received.
  std::uint32_t next_seq = 0;  // First byte that the caller has not sent yet.
  TimePoint last_seen;
  TimePoint waiting_since;  // First packet that has had no reply.
  std::uint16_t waiting_packets = 0;
  bool established = false;
  bool waiting = false;
  bool counted_unanswered = false;  // This wait has counted as unanswered.
  bool closed = false;              // The caller has ended it.
};

// Tracked flows in a fixed amount of memory, as a set-associative table. When a
// set of slots is full, the flow that was idle longest is evicted.
class TrackedFlows {
 public:
  // Room for `capacity` flows, rounded up to a power of two.
  explicit TrackedFlows(std::size_t capacity);

  [[nodiscard]] auto Find(FlowKey key) -> TrackedFlow*;

  // Returns the flow's slot, a new one if it was not tracked. Calls `evicted`
  // with the flow that is evicted for it, if any.
  template <typename Evicted>
  auto FindOrAdd(FlowKey key, Evicted&& evicted) -> TrackedFlow& {
    auto& slot = SlotFor(key);
    if (slot.key != key) {
      if (slot.key != FlowKey()) {
        evicted(slot);
      }
      slot = TrackedFlow();
      slot.key = key;
    }
    return slot;
  }

  static void Remove(TrackedFlow& flow) { flow = TrackedFlow(); }

  template <typename Visit>
  void ForEach(Visit&& visit) {
    for (auto& slot : slots_) {
      if (slot.key != FlowKey()) {
        visit(slot);
      }
    }
  }

 private:
  auto SlotFor(FlowKey key) -> TrackedFlow&;

  std::vector<TrackedFlow> slots_;
  std::uint64_t set_mask_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_TRACKED_FLOWS_H_
