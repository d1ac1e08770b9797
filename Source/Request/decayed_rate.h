#ifndef HEMLOCKWICK_REQUEST_DECAYED_RATE_H_
#define HEMLOCKWICK_REQUEST_DECAYED_RATE_H_

#include "Core/time.h"

namespace hemlockwick {

// Rate of events, averaged over an exponentially decaying window.
class DecayedRate {
 public:
  explicit DecayedRate(Duration window);

  // Counts `amount` at `now`.
  void Add(double amount, TimePoint now);

  // Returns the average amount per second.
  [[nodiscard]] auto PerSecond(TimePoint now) const -> double;

 private:
  [[nodiscard]] auto Decayed(TimePoint now) const -> double;

  double window_seconds_;
  double sum_ = 0;
  TimePoint updated_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_DECAYED_RATE_H_
