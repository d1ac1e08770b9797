#include "Flow/tracked_flows.h"

#include <algorithm>
#include <bit>

namespace hemlockwick {

namespace {

// Number of slots that a flow may use, the size of a set.
constexpr std::size_t kWays = 4;

}  // namespace

TrackedFlows::TrackedFlows(std::size_t capacity)
    : slots_(std::bit_ceil(std::max(capacity, kWays))),
      set_mask_(slots_.size() / kWays - 1) {}

auto TrackedFlows::Find(const FlowId& id) -> TrackedFlow* {
  auto& slot = SlotFor(id);
  return slot.is_tracked && slot.id == id ? &slot : nullptr;
}

// The slot that holds the flow, else a free one, else the one idle longest.
auto TrackedFlows::SlotFor(const FlowId& id) -> TrackedFlow& {
  const auto first = (FlowKeyOf(id).value() & set_mask_) * kWays;
  auto* oldest = &slots_[first];
  for (auto way = std::size_t{0}; way < kWays; ++way) {
    auto& slot = slots_[first + way];
    if (slot.is_tracked && slot.id == id) {
      return slot;
    }
    const auto is_better =
        !slot.is_tracked ||
        (oldest->is_tracked && slot.last_seen < oldest->last_seen);
    if (is_better) {
      oldest = &slot;
    }
  }
  return *oldest;
}

}  // namespace hemlockwick
