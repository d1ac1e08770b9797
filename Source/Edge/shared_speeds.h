#ifndef HEMLOCKWICK_EDGE_SHARED_SPEEDS_H_
#define HEMLOCKWICK_EDGE_SHARED_SPEEDS_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Core/time.h"
#include "Flow/endpoint_speed.h"

namespace hemlockwick {

// Maximum number of endpoints in one sum of reply statistics, and in the speeds
// of one answer.
inline constexpr std::size_t kMaxReplySummaries = 256;
inline constexpr std::size_t kMaxAnsweredSpeeds = 256;

// What remains of the 17 KB that an instance may send in a second after its
// sums (256 endpoints of at most 26 bytes), and what each watcher takes of it
// without the speeds themselves: 0.3 KB and the names of the fields.
inline constexpr std::size_t kAnswerBytesPerSecond = 9'750;
inline constexpr std::size_t kWatcherBytesPerSecond = 330;

// Bytes of an endpoint's speed in an answer.
inline constexpr std::size_t kSpeedBytes = 5;

// The number of speeds in each answer of a relay with this many watchers, at
// about one such answer a second to each.
[[nodiscard]] constexpr auto SpeedsPerAnswer(std::size_t watchers)
    -> std::size_t {
  const auto share = kAnswerBytesPerSecond / std::max<std::size_t>(watchers, 1);
  const auto bytes = share - std::min(share, kWatcherBytesPerSecond);
  return std::min(bytes / kSpeedBytes, kMaxAnsweredSpeeds);
}

// The number of summaries that are sent to each of several receivers.
[[nodiscard]] constexpr auto SummariesPerReceiver(std::size_t receivers)
    -> std::size_t {
  return kMaxReplySummaries / std::max<std::size_t>(receivers, 1);
}

// Limits of a summary on the wire.
inline constexpr std::uint32_t kMaxSummaryReplies = 4095;
inline constexpr double kMaxSummaryRatio = 8;

// Speeds are discarded this long after they were estimated.
inline constexpr Duration kSpeedsLifetime = std::chrono::seconds(5);

// What the root of a relay tree has estimated. Endpoints that are not listed
// are as fast as usual, so an empty list differs from none.
struct SharedSpeeds {
  std::vector<SharedSpeed> speeds;
  // When they were estimated. Relays pass the age on instead of resetting it:
  // speeds of a root that has gone expire at the same time in the whole tree.
  TimePoint at;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SHARED_SPEEDS_H_
