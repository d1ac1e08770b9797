#include "Request/decayed_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hemlockwick {

DecayedRate::DecayedRate(Duration window)
    : window_seconds_(ToSeconds(window)) {}

void DecayedRate::Add(double amount, TimePoint now) {
  sum_ = Decayed(now) + amount;
  updated_ = std::max(updated_, now);
}

auto DecayedRate::PerSecond(TimePoint now) const -> double {
  return Decayed(now) / window_seconds_;
}

auto DecayedRate::Decayed(TimePoint now) const -> double {
  if (sum_ == 0 || now <= updated_) {
    return sum_;
  }
  return sum_ * std::exp(-ToSeconds(now - updated_) / window_seconds_);
}

}  // namespace hemlockwick
