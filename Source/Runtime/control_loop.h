#ifndef HEMLOCKWICK_RUNTIME_CONTROL_LOOP_H_
#define HEMLOCKWICK_RUNTIME_CONTROL_LOOP_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <variant>

#include "Core/snapshot_cell.h"
#include "Fleet/fleet_node.h"
#include "Flow/flow_router.h"
#include "Runtime/inbox.h"
#include "Runtime/peer_sender.h"
#include "Runtime/platform_client.h"
#include "Runtime/request_gateway.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Snapshot of the control state for other threads.
struct ControlView {
  std::shared_ptr<const FleetConfig> config;  // Null before the first version.
  TimePoint in_force_since;
  MemberView members;
  std::string last_refusal;  // Last refused version and reason.
  std::uint64_t sent_bytes = 0;
  bool leaving = false;
};

// Messages of peers and other inputs of the control thread.
struct FleetDelivery {
  InstanceId from;
  FleetMessage message;
};
struct FlowDelivery {
  InstanceId from;
  FlowMessage message;
};
struct SendFailure {
  InstanceId to;
};
struct LeaveRequest {};

using ControlInput = std::variant<PlatformAnswer, FleetDelivery, FlowDelivery,
                                  SendFailure, LeaveRequest>;

// The control thread: owns the fleet node and updates the flow router and the
// request gateway from it.
class ControlLoop {
 public:
  ControlLoop(const FleetSettings& settings, EventLog& events,
              const SystemClock& clock, Inbox<ControlInput>& inbox,
              PlatformClient& platform, PeerSender& peers, FlowRouter& router,
              RequestGateway& gateway);
  ~ControlLoop();
  ControlLoop(const ControlLoop&) = delete;
  auto operator=(const ControlLoop&) -> ControlLoop& = delete;

  [[nodiscard]] auto view() const -> std::shared_ptr<const ControlView> {
    return view_.Load();
  }

  // Statistics of the flow router, updated several times a second.
  [[nodiscard]] auto flow_stats() const -> FlowStats {
    const auto stats = flow_stats_.Load();
    return stats == nullptr ? FlowStats() : *stats;
  }

  // Whether the planned stop has handed over all flows and idempotency keys.
  [[nodiscard]] auto LeaveDone() const -> bool { return leave_done_; }

 private:
  void Run(const std::stop_token& stop);
  void HandleInputs(const std::vector<ControlInput>& inputs);

  void Handle(const PlatformAnswer& input, TimePoint now);
  void Handle(const FleetDelivery& input, TimePoint now);
  void Handle(const FlowDelivery& input, TimePoint now);
  void Handle(const SendFailure& input, TimePoint now);
  void Handle(const LeaveRequest& input, TimePoint now);

  void Execute(const FleetActions& actions, TimePoint now);
  void Execute(const SendFleetMessage& action, TimePoint now);
  void Execute(const PlatformRead& action, TimePoint now);
  void Execute(const ConfigInForce& action, TimePoint now);
  void Execute(const ConfigRefused& action, TimePoint now);
  void Execute(const MembersChanged& action, TimePoint now);
  void Execute(const FlowActions& actions);

  // Passes on a membership view that was refreshed without a change of members.
  void RefreshMembers(TimePoint now);
  void UpdateMembers(TimePoint now);
  void PublishView();
  [[nodiscard]] auto WaitUntilDue() const -> Duration;

  EventLog& events_;
  const SystemClock& clock_;
  Inbox<ControlInput>& inbox_;
  PlatformClient& platform_;
  PeerSender& peers_;
  FlowRouter& router_;
  RequestGateway& gateway_;
  FleetNode node_;
  std::shared_ptr<const FleetConfig> in_force_;
  TimePoint in_force_since_;
  TimePoint flow_tick_due_;
  TimePoint refreshed_;
  std::string last_refusal_;
  bool leaving_ = false;
  bool view_changed_ = true;
  SnapshotCell<ControlView> view_;
  SnapshotCell<FlowStats> flow_stats_;
  std::atomic<bool> leave_done_ = false;
  std::jthread thread_;  // Last: it uses the members above.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_CONTROL_LOOP_H_
