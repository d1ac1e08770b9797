#ifndef HEMLOCKWICK_TIMELINE_EVENT_LOG_H_
#define HEMLOCKWICK_TIMELINE_EVENT_LOG_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "Core/time.h"
#include "Timeline/event.h"

namespace hemlockwick {

// Events kept per process.
inline constexpr std::size_t kEventLogCapacity = 4096;

// A ring buffer of events with hybrid logical clock stamps. Thread-safe.
class EventLog {
 public:
  explicit EventLog(std::string instance,
                    std::size_t capacity = kEventLogCapacity);

  // Records an event, and drops the oldest one when the buffer is full.
  void Record(EventKind kind, std::string subject, std::string detail,
              TimePoint now);

  // Advances the logical clock past a stamp received from a peer.
  void Observe(HlcStamp received, TimePoint now);

  // Advances the logical clock and returns the stamp for an outgoing message.
  auto Stamp(TimePoint now) -> HlcStamp;

  // Returns the events later than `after` that are still kept, oldest first.
  [[nodiscard]] auto Since(HlcStamp after) const -> std::vector<Event>;

  // Number of events dropped because the buffer was full.
  [[nodiscard]] auto dropped() const -> std::size_t;

 private:
  auto Advance(TimePoint now) -> HlcStamp;

  const std::string instance_;
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  HlcStamp clock_;
  std::deque<Event> events_;
  std::size_t dropped_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TIMELINE_EVENT_LOG_H_
