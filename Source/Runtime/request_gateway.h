#ifndef HEMLOCKWICK_RUNTIME_REQUEST_GATEWAY_H_
#define HEMLOCKWICK_RUNTIME_REQUEST_GATEWAY_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "Request/request_plane.h"
#include "Runtime/http_server.h"
#include "Runtime/system_clock.h"
#include "Runtime/thread_pool.h"

namespace hemlockwick {

// Executes the decisions of a RequestPlane: holds callers' requests while they
// wait, sends attempts to endpoints and returns the answers. Any thread may
// call it.
class RequestGateway {
 public:
  using SendMessage = std::function<void(const SendRequestMessage&)>;

  RequestGateway(const RequestPlaneSettings& settings, InstanceId self,
                 EventLog& events, const SystemClock& clock, SendMessage send);
  ~RequestGateway();
  RequestGateway(const RequestGateway&) = delete;
  auto operator=(const RequestGateway&) -> RequestGateway& = delete;

  void OnConfig(const std::shared_ptr<const FleetConfig>& config);
  void OnMembers(const MemberView& members);
  void OnMessage(InstanceId from, const RequestMessage& message);

  // Handles one request of a caller. Blocks until its response is available.
  [[nodiscard]] auto Serve(const HttpCall& call, const Service& service)
      -> HttpResponse;

  void BeginLeave();
  [[nodiscard]] auto LeaveDone() const -> bool;

  // Answers all waiting requests with "outcome unknown" and refuses all later
  // ones.
  void Abort();

  [[nodiscard]] auto stats() const -> RequestStats;

 private:
  struct PendingRequest;
  using PendingPtr = std::shared_ptr<PendingRequest>;

  // The caller of the following functions must hold mutex_.
  void Execute(const RequestActions& actions);
  void Execute(const DispatchRequest& dispatch);
  void Execute(const RefuseRequest& refusal);
  void Execute(const DeliverAnswer& answer);
  void Execute(const CancelAttempt& cancel);
  void Execute(const SendRequestMessage& message);
  [[nodiscard]] auto Find(RequestId request) const -> PendingPtr;

  auto Wait(const HttpCall& call, const RequestArrival& arrival,
            PendingRequest& pending) -> HttpResponse;
  void RunAttempt(const DispatchRequest& dispatch);
  auto ConfirmAttempt(const DispatchRequest& dispatch) -> PendingPtr;
  auto SendAttempt(const DispatchRequest& dispatch, const HttpRequest& request,
                   HttpResponse& answer) -> AttemptOutcome;
  void CompleteAttempt(const DispatchRequest& dispatch, AttemptOutcome outcome,
                       HttpResponse answer);
  void RunTimer(const std::stop_token& stop);

  const SystemClock& clock_;
  const SendMessage send_;
  mutable std::mutex mutex_;
  RequestPlane plane_;
  std::uint64_t next_id_;
  bool aborted_ = false;
  std::unordered_map<RequestId, PendingPtr> pending_;
  std::condition_variable_any timer_changed_;
  TimePoint timer_due_;
  // Declared last, because their threads use the members above.
  ThreadPool senders_;
  ThreadPool cancellers_;
  std::jthread timer_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_REQUEST_GATEWAY_H_
