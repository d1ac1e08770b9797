#ifndef HEMLOCKWICK_FLEET_BYTE_BUDGET_H_
#define HEMLOCKWICK_FLEET_BYTE_BUDGET_H_

#include <cstdint>

#include "Core/time.h"

namespace hemlockwick {

// Average control traffic of one instance, in bytes per second: the refill
// rate of the token bucket.
inline constexpr double kControlBytesPerSecond = 12'000;

// Control traffic that may be sent at once after an idle period, in bytes: the
// capacity of the token bucket.
inline constexpr double kControlBurstBytes = 240'000;

// Priority of a message, most urgent first. Part of the budget is reserved for
// the more urgent classes.
enum class TrafficClass {
  kProbe,   // Failure detection.
  kGossip,  // Member updates, configuration versions and deltas.
  kBulk,    // Full index and shard bodies.
};

// A token bucket over the bytes that an instance sends as control traffic.
class ByteBudget {
 public:
  explicit ByteBudget(TimePoint now) : updated_(now) {}

  // Takes `bytes` from the bucket unless that would use the reserve of a more
  // urgent class. Returns whether the bytes were taken.
  auto TryConsume(std::uint64_t bytes, TrafficClass traffic, TimePoint now)
      -> bool;

  [[nodiscard]] auto sent() const -> std::uint64_t { return sent_; }

  // Calls of TryConsume that were refused.
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
