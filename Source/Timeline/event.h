#ifndef HEMLOCKWICK_TIMELINE_EVENT_H_
#define HEMLOCKWICK_TIMELINE_EVENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "Core/ids.h"

namespace hemlockwick {

// Hybrid logical clock stamp: physical milliseconds, then a counter that
// orders events within one millisecond and after received messages.
struct HlcStamp {
  std::int64_t unix_millis = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const HlcStamp&, const HlcStamp&)
      -> std::strong_ordering = default;
};

enum class EventKind {
  kProcessStarted,
  kProcessStopping,
  kProcessPaused,  // The process detected that it had been suspended.
  kVersionAccepted,
  kVersionInForce,
  kVersionRefused,
  kEndpointDrainBegun,
  kEndpointDrainEnded,
  kDataCentreEvacuated,
  kDataCentreTakenBack,
  kMemberJoined,
  kMemberSuspected,
  kMemberDead,
  kMemberBack,
  kMemberLeaving,
  kLimitMoved,
  kHandOverBegun,
  kHandOverEnded,
  kPartitionBegun,
  kPartitionEnded,
  kPlatformLost,
  kPlatformBack,
  kRecordsEvicted,
};

// Name of the kind as it appears in JSON, for example "version_in_force".
[[nodiscard]] auto ToString(EventKind kind) -> std::string_view;

// An event that one process has recorded.
struct Event {
  HlcStamp stamp;
  std::string instance;  // Name of the instance that recorded it.
  EventKind kind = EventKind::kProcessStarted;
  std::string subject;  // The version, member or endpoint concerned.
  std::string detail;   // Free text for operators.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_TIMELINE_EVENT_H_
