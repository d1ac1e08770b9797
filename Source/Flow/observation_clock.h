#ifndef HEMLOCKWICK_FLOW_OBSERVATION_CLOCK_H_
#define HEMLOCKWICK_FLOW_OBSERVATION_CLOCK_H_

#include <algorithm>
#include <optional>

#include "Core/time.h"

namespace hemlockwick {

// Measures the time in which this instance keeps up with its packets. It ticks
// whenever the socket is empty. When two ticks are further apart than kMaxStep,
// packets may have waited here, before they were read or before they were sent;
// so no more than kMaxStep counts.
class ObservationClock {
 public:
  // The time for which an idle instance waits for a packet.
  static constexpr Duration kMaxStep = std::chrono::milliseconds(50);

  void Tick(TimePoint now) {
    elapsed_ = ElapsedAt(now);
    last_tick_ = now;
  }

  // Time of the last tick; nullopt before the first one.
  [[nodiscard]] auto last_tick() const -> std::optional<TimePoint> {
    return last_tick_;
  }

  // Observed time until the last tick.
  [[nodiscard]] auto elapsed() const -> Duration { return elapsed_; }

  // Observed time until `now`, which is not before the last tick.
  [[nodiscard]] auto ElapsedAt(TimePoint now) const -> Duration {
    return last_tick_ ? elapsed_ + std::min(now - *last_tick_, kMaxStep)
                      : elapsed_;
  }

 private:
  std::optional<TimePoint> last_tick_;
  Duration elapsed_{0};
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_OBSERVATION_CLOCK_H_
