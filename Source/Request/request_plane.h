#ifndef HEMLOCKWICK_REQUEST_REQUEST_PLANE_H_
#define HEMLOCKWICK_REQUEST_REQUEST_PLANE_H_

#include <memory>

#include "Config/fleet_config.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Request/request_action.h"
#include "Request/request_message.h"
#include "Request/request_types.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Request decisions of one instance: admission, waiting, dispatch, retries and
// at-most-once. Not thread-safe; its adapter serialises the calls. Each call
// returns what to do now.
class RequestPlane {
 public:
  RequestPlane(const RequestPlaneSettings& settings, InstanceId self,
               EventLog& events, TimePoint now);
  ~RequestPlane();
  RequestPlane(const RequestPlane&) = delete;
  auto operator=(const RequestPlane&) -> RequestPlane& = delete;

  auto OnConfig(std::shared_ptr<const FleetConfig> config, TimePoint now)
      -> RequestActions;
  auto OnMembers(const MemberView& members, TimePoint now) -> RequestActions;

  auto OnArrival(const RequestArrival& arrival, TimePoint now)
      -> RequestActions;

  // The caller closed its connection.
  auto OnCallerGone(RequestId request, TimePoint now) -> RequestActions;

  // The adapter is about to send the first byte of a dispatch. Returns false
  // when the dispatch is stale (the process woke late) and must not be sent.
  auto ConfirmSend(const DispatchRequest& dispatch, TimePoint now) -> bool;

  auto OnAttemptResult(const AttemptResult& result, TimePoint now)
      -> RequestActions;
  auto OnLoadReport(const EndpointLoad& load, TimePoint now) -> RequestActions;
  auto OnMessage(InstanceId from, const RequestMessage& message, TimePoint now)
      -> RequestActions;
  auto OnTick(TimePoint now) -> RequestActions;

  // When OnTick next has something to do.
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Refuses new work and hands the keys over before a planned stop.
  auto BeginLeave(TimePoint now) -> RequestActions;

  // Whether no request waits or runs any more.
  [[nodiscard]] auto LeaveDone() const -> bool;

  [[nodiscard]] auto stats() const -> RequestStats;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_PLANE_H_
