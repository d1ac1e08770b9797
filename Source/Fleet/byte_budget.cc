#include "Fleet/byte_budget.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// Fraction of the burst that is reserved for more urgent classes.
constexpr double kGossipReserve = 0.1;
constexpr double kBulkReserve = 0.4;

auto ReserveOf(TrafficClass traffic) -> double {
  switch (traffic) {
    case TrafficClass::kProbe:
      return 0;
    case TrafficClass::kGossip:
      return kGossipReserve * kControlBurstBytes;
    case TrafficClass::kBulk:
      return kBulkReserve * kControlBurstBytes;
  }
  return 0;
}

}  // namespace

auto ByteBudget::TryConsume(std::uint64_t bytes, TrafficClass traffic,
                            TimePoint now) -> bool {
  Refill(now);
  const auto wanted = static_cast<double>(bytes);
  if (available_ - wanted < ReserveOf(traffic)) {
    ++refused_;
    return false;
  }
  available_ -= wanted;
  sent_ += bytes;
  return true;
}

void ByteBudget::Refill(TimePoint now) {
  if (now <= updated_) {
    return;
  }
  const auto elapsed = std::chrono::duration<double>(now - updated_).count();
  available_ = std::min(kControlBurstBytes,
                        available_ + elapsed * kControlBytesPerSecond);
  updated_ = now;
}

}  // namespace hemlockwick
