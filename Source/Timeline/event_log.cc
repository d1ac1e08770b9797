#include "Timeline/event_log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hemlockwick {

EventLog::EventLog(std::string instance, std::size_t capacity)
    : instance_(std::move(instance)), capacity_(capacity) {}

void EventLog::Record(EventKind kind, std::string subject, std::string detail,
                      TimePoint now) {
  const std::lock_guard lock(mutex_);
  if (events_.size() == capacity_) {
    events_.pop_front();
    ++dropped_;
  }
  events_.push_back(Event{Advance(now), instance_, kind, std::move(subject),
                          std::move(detail)});
}

void EventLog::Observe(HlcStamp received, TimePoint now) {
  const std::lock_guard lock(mutex_);
  clock_ = std::max(clock_, received);
  Advance(now);
}

auto EventLog::Stamp(TimePoint now) -> HlcStamp {
  const std::lock_guard lock(mutex_);
  return Advance(now);
}

auto EventLog::Since(HlcStamp after) const -> std::vector<Event> {
  const std::lock_guard lock(mutex_);
  auto later = std::vector<Event>();
  std::copy_if(events_.begin(), events_.end(), std::back_inserter(later),
               [after](const Event& event) { return event.stamp > after; });
  return later;
}

auto EventLog::dropped() const -> std::size_t {
  const std::lock_guard lock(mutex_);
  return dropped_;
}

auto EventLog::Advance(TimePoint now) -> HlcStamp {
  const auto millis = ToUnixMillis(now);
  if (millis > clock_.unix_millis) {
    clock_ = HlcStamp{millis, 0};
  } else {
    ++clock_.counter;
  }
  return clock_;
}

}  // namespace hemlockwick
