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

// Decides on the requests of one instance: admission, queueing, dispatch,
// retries and at-most-once execution. It does no input or output; each call
// returns the actions to carry out now. Not thread-safe: the adapter that calls
// it serialises the calls.
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

  // Records that the caller closed its connection. Cancels a sent attempt; any
  // other request ends without an answer.
  auto OnCallerGone(RequestId request, TimePoint now) -> RequestActions;

  // Call it immediately before the first byte of a dispatch is sent. Returns
  // false if the dispatch is stale, as after a suspension of the process, and
  // must not be sent.
  auto ConfirmSend(const DispatchRequest& dispatch, TimePoint now) -> bool;

  auto OnAttemptResult(const AttemptResult& result, TimePoint now)
      -> RequestActions;
  auto OnLoadReport(const EndpointLoad& load, TimePoint now) -> RequestActions;
  auto OnMessage(InstanceId from, const RequestMessage& message, TimePoint now)
      -> RequestActions;
  auto OnTick(TimePoint now) -> RequestActions;

  // Time at which OnTick is due.
  [[nodiscard]] auto NextTick() const -> TimePoint;

  // Begins a planned stop: refuses new requests and hands the keys over.
  auto BeginLeave(TimePoint now) -> RequestActions;

  // Whether a planned stop has begun and no request waits or runs any more.
  [[nodiscard]] auto LeaveDone() const -> bool;

  [[nodiscard]] auto stats() const -> RequestStats;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_PLANE_H_
