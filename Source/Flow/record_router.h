#ifndef HEMLOCKWICK_FLOW_RECORD_ROUTER_H_
#define HEMLOCKWICK_FLOW_RECORD_ROUTER_H_

#include "Core/snapshot_cell.h"
#include "Core/time.h"
#include "Flow/flow_router.h"
#include "Flow/flow_types.h"

namespace hemlockwick {

// Access of one traffic thread to a FlowRouter. Models FlowAffinity.
class RecordRouter {
 public:
  using Packet = FlowPacket;
  using Action = FlowAction;

  // The router must outlive it.
  explicit RecordRouter(FlowRouter& router)
      : router_(router), snapshots_(router.snapshots()) {}

  auto Decide(const FlowPacket& packet, TimePoint now) -> FlowAction {
    return router_.Decide(snapshots_.Get(), packet, now);
  }

 private:
  FlowRouter& router_;
  SnapshotReader<FlowSnapshot> snapshots_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_RECORD_ROUTER_H_
