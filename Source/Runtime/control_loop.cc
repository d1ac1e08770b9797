#include "Runtime/control_loop.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Runtime/drain_events.h"
#include "Runtime/log.h"

namespace hemlockwick {

namespace {

// Interval at which flow records expire and hand-over messages are resent.
constexpr Duration kFlowTickInterval = std::chrono::milliseconds(200);

// Interval at which the flow router is told that the membership view is still
// current. Far below the freshness lease, after which the router drops packets.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(200);

constexpr Duration kMinWait = std::chrono::milliseconds(1);

}  // namespace

ControlLoop::ControlLoop(const FleetSettings& settings, EventLog& events,
                         const SystemClock& clock, Inbox<ControlInput>& inbox,
                         PlatformClient& platform, PeerSender& peers,
                         FlowRouter& router, RequestGateway& gateway)
    : events_(events),
      clock_(clock),
      inbox_(inbox),
      platform_(platform),
      peers_(peers),
      router_(router),
      gateway_(gateway),
      node_(settings, events, clock.Now()) {
  PublishView();
  thread_ = std::jthread([this](const std::stop_token& stop) { Run(stop); });
}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Run(const std::stop_token& stop) {
  while (!stop.stop_requested()) {
    HandleInputs(inbox_.TakeAll(WaitUntilDue()));
  }
}

void ControlLoop::HandleInputs(const std::vector<ControlInput>& inputs) {
  for (const auto& input : inputs) {
    std::visit([this](const auto& received) { Handle(received, clock_.Now()); },
               input);
  }
  const auto now = clock_.Now();
  if (now >= node_.NextTick()) {
    Execute(node_.OnTick(now), now);
  }
  RefreshMembers(now);
  if (now >= flow_tick_due_) {
    flow_tick_due_ = now + kFlowTickInterval;
    Execute(router_.OnTick(now));
    flow_stats_.Publish(std::make_shared<const FlowStats>(router_.stats()));
  }
  leave_done_ = leaving_ && router_.LeaveDone(now) && gateway_.LeaveDone();
  if (view_changed_) {
    PublishView();
  }
}

auto ControlLoop::WaitUntilDue() const -> Duration {
  const auto due = std::min(node_.NextTick(), flow_tick_due_);
  return std::clamp(due - clock_.Now(), kMinWait, kFlowTickInterval);
}

void ControlLoop::Handle(const PlatformAnswer& input, TimePoint now) {
  Execute(node_.OnPlatformAnswer(input, now), now);
}

void ControlLoop::Handle(const FleetDelivery& input, TimePoint now) {
  Execute(node_.OnMessage(input.from, input.message, now), now);
}

void ControlLoop::Handle(const FlowDelivery& input, TimePoint now) {
  Execute(router_.OnMessage(input.from, input.message, now));
}

void ControlLoop::Handle(const SendFailure& input, TimePoint now) {
  Execute(node_.OnSendFailed(input.to, now), now);
}

void ControlLoop::Handle(const LeaveRequest& /*input*/, TimePoint now) {
  if (leaving_) {
    return;
  }
  leaving_ = true;
  view_changed_ = true;
  gateway_.BeginLeave();
  Execute(node_.BeginLeave(now), now);
  Execute(router_.BeginLeave(now));
}

void ControlLoop::Execute(const FleetActions& actions, TimePoint now) {
  for (const auto& action : actions) {
    std::visit([this, now](const auto& step) { Execute(step, now); }, action);
  }
}

void ControlLoop::Execute(const SendFleetMessage& action, TimePoint /*now*/) {
  peers_.Send({action.to, action.address, "fleet", Encode(action.message)});
}

void ControlLoop::Execute(const PlatformRead& action, TimePoint /*now*/) {
  platform_.Read(action);
}

void ControlLoop::Execute(const ConfigInForce& action, TimePoint now) {
  in_force_since_ = now;
  RecordDrains(in_force_.get(), *action.config, events_, now);
  in_force_ = action.config;
  last_refusal_.clear();
  view_changed_ = true;
  router_.Update(action.config, node_.members(), now);
  gateway_.OnConfig(action.config);
  Log(LogLevel::kInfo, "version in force",
      {{"version", std::to_string(action.config->version.value())}});
}

void ControlLoop::Execute(const ConfigRefused& action, TimePoint /*now*/) {
  last_refusal_ = "version " + std::to_string(action.version.value()) + ": " +
                  action.reason;
  view_changed_ = true;
  Log(LogLevel::kError, "version refused",
      {{"version", std::to_string(action.version.value())},
       {"reason", action.reason}});
}

void ControlLoop::Execute(const MembersChanged& /*action*/, TimePoint now) {
  UpdateMembers(now);
}

void ControlLoop::Execute(const FlowActions& actions) {
  for (const auto& action : actions) {
    peers_.Send({action.to, action.address, "flow", Encode(action.message)});
  }
}

void ControlLoop::RefreshMembers(TimePoint /*now*/) {
  if (node_.members().refreshed >= refreshed_ + kRefreshInterval) {
    UpdateMembers(clock_.Now());
  }
}

void ControlLoop::UpdateMembers(TimePoint now) {
  refreshed_ = node_.members().refreshed;
  view_changed_ = true;
  gateway_.OnMembers(node_.members());
  if (node_.config() != nullptr) {
    router_.Update(node_.config(), node_.members(), now);
  }
}

void ControlLoop::PublishView() {
  view_.Publish(std::make_shared<const ControlView>(
      ControlView{node_.config(), in_force_since_, node_.members(),
                  last_refusal_, node_.sent_bytes(), leaving_}));
  view_changed_ = false;
}

}  // namespace hemlockwick
