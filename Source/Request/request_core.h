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
#include "Request/service_context.h"

namespace hemlockwick {

// Implementation of RequestPlane with the dispatch policy and the key guard as
// parameters. RequestPlane documents the calls.
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
  using Context = ServiceContext<Policy>;
  using Record = RequestRecord;
  using Records = std::unordered_map<RequestId, Record>;

  // Admission.
  auto ContextOf(ServiceId id, TimePoint now) -> Context*;
  void Refresh(ServiceId id, Context& context);
  [[nodiscard]] auto EarlyRefusal(const RequestArrival& arrival,
                                  Context* context, TimePoint now)
      -> std::optional<RefusalReason>;
  void Enqueue(Record& record, Context& context, RequestActions& actions,
               TimePoint now);
  void OnVerdict(const KeyVerdict& verdict, RequestActions& actions,
                 TimePoint now);
  void TrimQueue(Context& context, WorkClass work, RequestActions& actions,
                 TimePoint now);

  // Dispatch.
  void DispatchWaiting(ServiceId id, Context& context, RequestActions& actions,
                       TimePoint now);
  auto DispatchNext(Context& context, WorkClass work, RequestActions& actions,
                    TimePoint now) -> bool;
  void ReclassifyAsLong(Context& context, TimePoint now);
  void ScheduleDispatch(ServiceId id, Context& context, TimePoint at);
  void Requeue(Record& record, Context& context);

  // Results.
  void ReleaseSlot(Record& record, Context& context, AttemptOutcome outcome,
                   const EndpointLoad* load, TimePoint now);
  void FreeSlot(Record& record, Context& context);
  void OnRetryable(Record& record, Context& context, AttemptOutcome outcome,
                   RequestActions& actions, TimePoint now);
  void OnDeadline(RequestId id, RequestActions& actions, TimePoint now);
  void Refuse(Record& record, Context* context, RefusalReason reason,
              RequestActions& actions, TimePoint now);
  void CancelSentAttempt(Record& record, RequestActions& actions);
  void Finish(RequestId id, KeyState final_state, RequestActions& actions,
              TimePoint now);

  // View.
  void DetectSuspension(TimePoint now);
  void SendReports(RequestActions& actions, TimePoint now);

  InstanceId self_;
  Keys keys_;
  Random random_;
  std::shared_ptr<const FleetConfig> config_;
  MemberView members_;
  std::uint64_t generation_ = 1;
  bool has_limits_ = false;
  std::unordered_map<ServiceId, std::unique_ptr<Context>> contexts_;
  Records records_;
  std::set<std::pair<TimePoint, RequestId>> deadlines_;
  std::set<std::pair<TimePoint, ServiceId>> scheduled_;
  TimePoint last_call_;
  TimePoint hold_until_;
  TimePoint next_report_;
  bool leaving_ = false;
  RequestStats stats_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_CORE_H_
