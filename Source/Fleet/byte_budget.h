#ifndef HEMLOCKWICK_FLEET_BYTE_BUDGET_H_
#define HEMLOCKWICK_FLEET_BYTE_BUDGET_H_

#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// Control traffic of one instance on average, in bytes per second.
inline constexpr double kControlBytesPerSecond = 12'000;

// Control traffic that may be sent at once after a quiet time, in bytes.
inline constexpr double kControlBurstBytes = 240'000;

// What a message is for. Less urgent ones leave room for the more urgent.
enum class TrafficClass {
  kProbe,   // Failure detection.
  kGossip,  // Member updates, new versions and their differences.
  kBulk,    // Whole bodies.
};

// A token bucket over the bytes that an instance sends as control traffic.
class ByteBudget {
 public:
  explicit ByteBudget(TimePoint now) : updated_(now) {}

  // Takes `bytes` if the class may have them now.
  auto TryConsume(std::uint64_t bytes, TrafficClass traffic, TimePoint now)
      -> bool;

  [[nodiscard]] auto sent() const -> std::uint64_t { return sent_; }

  // Messages that were not sent for want of budget.
  [[nodiscard]] auto refused() const -> std::uint64_t { return refused_; }

 private:
  void Refill(TimePoint now);

  double available_ = kControlBurstBytes;
  TimePoint updated_;
  std::uint64_t sent_ = 0;
  std::uint64_t refused_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_BYTE_BUDGET_H_
