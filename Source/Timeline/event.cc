#include "Timeline/event.h"

namespace hemlockwick {

auto ToString(EventKind kind) -> std::string_view {
  switch (kind) {
    case EventKind::kProcessStarted:
      return "process_started";
    case EventKind::kProcessStopping:
      return "process_stopping";
    case EventKind::kProcessPaused:
      return "process_paused";
    case EventKind::kVersionAccepted:
      return "version_accepted";
    case EventKind::kVersionInForce:
      return "version_in_force";
    case EventKind::kVersionRefused:
      return "version_refused";
    case EventKind::kEndpointDrainBegun:
      return "endpoint_drain_begun";
    case EventKind::kEndpointDrainEnded:
      return "endpoint_drain_ended";
    case EventKind::kDataCentreEvacuated:
      return "data_centre_evacuated";
    case EventKind::kDataCentreTakenBack:
      return "data_centre_taken_back";
    case EventKind::kMemberJoined:
      return "member_joined";
    case EventKind::kMemberSuspected:
      return "member_suspected";
    case EventKind::kMemberDead:
      return "member_dead";
    case EventKind::kMemberBack:
      return "member_back";
    case EventKind::kMemberLeaving:
      return "member_leaving";
    case EventKind::kLimitMoved:
      return "limit_moved";
    case EventKind::kHandOverBegun:
      return "hand_over_begun";
    case EventKind::kHandOverEnded:
      return "hand_over_ended";
    case EventKind::kPartitionBegun:
      return "partition_begun";
    case EventKind::kPartitionEnded:
      return "partition_ended";
    case EventKind::kPlatformLost:
      return "platform_lost";
    case EventKind::kPlatformBack:
      return "platform_back";
    case EventKind::kRecordsEvicted:
      return "records_evicted";
  }
  return "unknown";
}

}  // namespace hemlockwick
