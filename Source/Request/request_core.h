#ifndef HEMLOCKWICK_REQUEST_REQUEST_CORE_H_
#define HEMLOCKWICK_REQUEST_REQUEST_CORE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "Config/fleet_config.h"
#include "Core/random.h"
#include "Fleet/member_view.h"
#include "Request/dispatch_policy.h"
#include "Request/key_guard.h"
#include "Request/request_action.h"
#include "Request/request_record.h"
#include "Request/service_lane.h"

namespace hemlockwick {

// The request decisions behind RequestPlane, with the dispatch policy and the
// key memory as parameters. See RequestPlane for the contract of the calls.
template <DispatchPolicy Policy, KeyGuard Keys>
class RequestCore {
 public:
  RequestCore(const RequestPlaneSettings& settings, InstanceId self, Keys keys,
              TimePoint now);

  auto OnConfig(std::shared_ptr<const FleetConfig> config, TimePoint now)
      -> RequestActions;
  auto OnMembers(const MemberView& members, TimePoint now) -> RequestActions;
  auto OnArrival(const RequestArrival& arrival, TimePoint now)
      -> RequestActions;
  auto OnCallerGone(RequestId request, TimePoint now) -> RequestActions;
  auto ConfirmSend(const DispatchRequest& dispatch, TimePoint now) -> bool;
  auto OnAttemptResult(const AttemptResult& result, TimePoint now)
      -> RequestActions;
  auto OnLoadReport(const EndpointLoad& load, TimePoint now) -> RequestActions;
  auto OnMessage(InstanceId from, const RequestMessage& message, TimePoint now)
      -> RequestActions;
  auto OnTick(TimePoint now) -> RequestActions;
  [[nodiscard]] auto NextTick() const -> TimePoint;
  auto BeginLeave(TimePoint now) -> RequestActions;
  [[nodiscard]] auto LeaveDone() const -> bool;
  [[nodiscard]] auto stats() const -> RequestStats;

 private:
  using Lane = ServiceLane<Policy>;
  using Record = RequestRecord;
  using Records = std::unordered_map<RequestId, Record>;

  // Admission.
  auto LaneOf(ServiceId id, TimePoint now) -> Lane*;
  void Refresh(ServiceId id, Lane& lane);
  [[nodiscard]] auto EarlyRefusal(const RequestArrival& arrival, Lane* lane,
                                  TimePoint now)
      -> std::optional<RefusalReason>;
  void Enqueue(Record& record, Lane& lane, RequestActions& actions,
               TimePoint now);
  void OnVerdict(const KeyVerdict& verdict, RequestActions& actions,
                 TimePoint now);
  void TrimQueue(Lane& lane, WorkClass work, RequestActions& actions,
                 TimePoint now);

  // Dispatch.
  void Pump(ServiceId id, Lane& lane, RequestActions& actions, TimePoint now);
  auto DispatchNext(Lane& lane, WorkClass work, RequestActions& actions,
                    TimePoint now) -> bool;
  void MarkOverdueAsLong(Lane& lane, TimePoint now);
  void SchedulePump(ServiceId id, Lane& lane, TimePoint at);
  void Requeue(Record& record, Lane& lane);

  // Results.
  void ReleaseSlot(Record& record, Lane& lane, AttemptOutcome outcome,
                   const EndpointLoad* load, TimePoint now);
  void FreeSlot(Record& record, Lane& lane);
  void OnRetryable(Record& record, Lane& lane, AttemptOutcome outcome,
                   RequestActions& actions, TimePoint now);
  void OnDeadline(RequestId id, RequestActions& actions, TimePoint now);
  void Refuse(Record& record, Lane* lane, RefusalReason reason,
              RequestActions& actions, TimePoint now);
  void LeaveToEndpoint(Record& record, RequestActions& actions);
  void Finish(RequestId id, KeyState ending, RequestActions& actions,
              TimePoint now);

  // View.
  void NoticePause(TimePoint now);
  void SendReports(RequestActions& actions, TimePoint now);

  InstanceId self_;
  Keys keys_;
  Random random_;
  std::shared_ptr<const FleetConfig> config_;
  MemberView members_;
  std::uint64_t generation_ = 1;
  bool has_limits_ = false;
  std::unordered_map<ServiceId, std::unique_ptr<Lane>> lanes_;
  Records records_;
  std::set<std::pair<TimePoint, RequestId>> deadlines_;
  std::set<std::pair<TimePoint, ServiceId>> pumps_;
  TimePoint last_call_;
  TimePoint hold_until_;
  TimePoint next_report_;
  bool leaving_ = false;
  RequestStats stats_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_H_
