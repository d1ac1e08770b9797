#ifndef HEMLOCKWICK_FLOW_ROUTER_EVENT_BUFFER_H_
#define HEMLOCKWICK_FLOW_ROUTER_EVENT_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "Flow/token_types.h"

namespace hemlockwick {

// Bounded buffer of events until they are collected. Counts the events that it
// has no room for.
class RouterEventBuffer {
 public:
  void Add(const RouterEvent& event) {
    constexpr std::size_t kMaxEvents = 512;
    if (events_.size() >= kMaxEvents) {
      ++dropped_;
      return;
    }
    events_.push_back(event);
  }

  // Events since the last call.
  [[nodiscard]] auto Take() -> std::vector<RouterEvent> {
    return std::exchange(events_, {});
  }

  // Total number of events that were not kept.
  [[nodiscard]] auto dropped() const -> std::uint64_t { return dropped_; }

 private:
  std::vector<RouterEvent> events_;
  std::uint64_t dropped_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ROUTER_EVENT_BUFFER_H_
