#ifndef HEMLOCKWICK_MEASURE_EVENT_QUEUE_H_
#define HEMLOCKWICK_MEASURE_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "Core/time.h"

namespace hemlockwick {

// Events in virtual time. Those of one moment run in the order in which they
// were added.
class EventQueue {
 public:
  explicit EventQueue(TimePoint start) : now_(start) {}

  [[nodiscard]] auto now() const -> TimePoint { return now_; }

  void At(TimePoint time, std::function<void()> run) {
    events_.push({time, next_order_++, std::move(run)});
  }
  void After(Duration time, std::function<void()> run) {
    At(now_ + time, std::move(run));
  }

  // Runs events, and those that they add, until none is left.
  void Run() {
    while (!events_.empty()) {
      const auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.run();
    }
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    friend auto operator>(const Event& left, const Event& right) -> bool {
      return left.at != right.at ? left.at > right.at
                                 : left.order > right.order;
    }
  };

  TimePoint now_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_EVENT_QUEUE_H_
