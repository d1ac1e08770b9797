#include "Runtime/request_gateway.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "Runtime/http_client.h"
#include "Runtime/request_headers.h"
#include "Runtime/socket.h"

namespace hemlockwick {

namespace {

// Maximum number of concurrent attempts. The slots of the endpoints keep the
// actual number far lower.
constexpr std::size_t kSenderThreads = 64;
constexpr std::size_t kMaxWaitingAttempts = 1024;
constexpr std::size_t kCancelThreads = 2;
constexpr std::size_t kMaxWaitingCancels = 256;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);
constexpr Duration kCancelTimeout = std::chrono::seconds(1);

// Interval at which a waiting request checks whether its caller is still
// connected.
constexpr Duration kCallerCheckInterval = std::chrono::milliseconds(200);
// Time after its deadline at which the gateway itself ends a request that the
// plane has not ended.
constexpr Duration kDeadlineGrace = std::chrono::seconds(5);

constexpr Duration kMinTimerWait = std::chrono::milliseconds(1);
constexpr Duration kMaxTimerWait = std::chrono::seconds(1);

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kCallerGone = 499;

// Number of low bits of a request id that are counted up. The high bits are the
// start time in milliseconds, so that ids differ between two runs of an
// instance.
constexpr auto kRequestIdCounterBits = 20;

}  // namespace

struct RequestGateway::PendingRequest {
  HttpRequest request;
  std::map<std::uint32_t, SocketAddress> attempts;
  std::map<std::uint32_t, HttpResponse> answers;
  std::optional<HttpResponse> result;
  std::condition_variable ended;
};

RequestGateway::RequestGateway(const RequestPlaneSettings& settings,
                               InstanceId self, EventLog& events,
                               const SystemClock& clock, SendMessage send)
    : clock_(clock),
      send_(std::move(send)),
      plane_(settings, self, events, clock.Now()),
      next_id_(static_cast<std::uint64_t>(ToUnixMillis(clock.Now()))
               << kRequestIdCounterBits),
      timer_due_(clock.Now()),
      senders_(kSenderThreads, kMaxWaitingAttempts),
      cancellers_(kCancelThreads, kMaxWaitingCancels),
      timer_([this](const std::stop_token& stop) { RunTimer(stop); }) {}

RequestGateway::~RequestGateway() = default;

void RequestGateway::OnConfig(
    const std::shared_ptr<const FleetConfig>& config) {
  const auto lock = std::lock_guard(mutex_);
  Execute(plane_.OnConfig(config, clock_.Now()));
}

void RequestGateway::OnMembers(const MemberView& members) {
  const auto lock = std::lock_guard(mutex_);
  Execute(plane_.OnMembers(members, clock_.Now()));
}

void RequestGateway::OnMessage(InstanceId from, const RequestMessage& message) {
  const auto lock = std::lock_guard(mutex_);
  Execute(plane_.OnMessage(from, message, clock_.Now()));
}

void RequestGateway::BeginLeave() {
  const auto lock = std::lock_guard(mutex_);
  Execute(plane_.BeginLeave(clock_.Now()));
}

void RequestGateway::Abort() {
  const auto lock = std::lock_guard(mutex_);
  aborted_ = true;
  for (const auto& [id, pending] : pending_) {
    if (!pending->result) {
      pending->result =
          RefusalResponse(RefusalReason::kOutcomeUnknown, Duration{0});
      pending->ended.notify_one();
    }
  }
}

auto RequestGateway::LeaveDone() const -> bool {
  const auto lock = std::lock_guard(mutex_);
  return plane_.LeaveDone() && pending_.empty();
}

auto RequestGateway::stats() const -> RequestStats {
  const auto lock = std::lock_guard(mutex_);
  return plane_.stats();
}

auto RequestGateway::Serve(const HttpCall& call, const Service& service)
    -> HttpResponse {
  if (call.request.body.size() > service.contract.max_body_bytes) {
    return NotRunResponse(kPayloadTooLarge, "body_too_large");
  }
  auto lock = std::unique_lock(mutex_);
  if (aborted_) {
    return RefusalResponse(RefusalReason::kStopping, Duration{0});
  }
  const auto id = RequestId(next_id_++);
  const auto arrival = TryOr(
      [&]() -> Result<std::optional<RequestArrival>> {
        BOOST_LEAF_AUTO(read, ReadArrival(call, service, id, clock_.Now()));
        return std::optional(read);
      },
      [](const Error&) { return std::optional<RequestArrival>(); });
  if (!arrival) {
    return NotRunResponse(kBadRequest, "malformed_header");
  }
  const auto pending = std::make_shared<PendingRequest>();
  pending->request = call.request;
  pending_[id] = pending;
  Execute(plane_.OnArrival(*arrival, clock_.Now()));
  lock.unlock();
  return Wait(call, *arrival, *pending);
}

auto RequestGateway::Wait(const HttpCall& call, const RequestArrival& arrival,
                          PendingRequest& pending) -> HttpResponse {
  auto lock = std::unique_lock(mutex_);
  while (!pending.result) {
    pending.ended.wait_for(lock, kCallerCheckInterval);
    if (pending.result) {
      break;
    }
    const auto now = clock_.Now();
    if (call.caller_gone()) {
      Execute(plane_.OnCallerGone(arrival.request, now));
      pending.result = HttpResponse{kCallerGone, {}, {}};
    } else if (now > arrival.deadline + kDeadlineGrace) {
      Execute(plane_.OnCallerGone(arrival.request, now));
      pending.result =
          RefusalResponse(RefusalReason::kOutcomeUnknown, Duration{0});
    }
  }
  pending_.erase(arrival.request);
  return std::move(*pending.result);
}

void RequestGateway::Execute(const RequestActions& actions) {
  for (const auto& action : actions) {
    std::visit([this](const auto& step) { Execute(step); }, action);
  }
  const auto due = plane_.NextTick();
  if (due < timer_due_) {
    timer_due_ = due;
    timer_changed_.notify_one();
  }
}

void RequestGateway::Execute(const DispatchRequest& dispatch) {
  const auto pending = Find(dispatch.request);
  if (pending != nullptr) {
    pending->attempts[dispatch.attempt] = dispatch.address;
  }
  if (!senders_.TrySubmit([this, dispatch] { RunAttempt(dispatch); })) {
    const auto result =
        AttemptResult{dispatch.request, dispatch.attempt, dispatch.endpoint,
                      AttemptOutcome::kNotSent, std::nullopt};
    Execute(plane_.OnAttemptResult(result, clock_.Now()));
  }
}

void RequestGateway::Execute(const RefuseRequest& refusal) {
  const auto pending = Find(refusal.request);
  if (pending == nullptr) {
    return;
  }
  pending->result = RefusalResponse(refusal.reason, refusal.retry_after);
  pending->ended.notify_one();
}

void RequestGateway::Execute(const DeliverAnswer& answer) {
  const auto pending = Find(answer.request);
  if (pending == nullptr) {
    return;
  }
  pending->result =
      ToCallerResponse(std::move(pending->answers[answer.attempt]));
  pending->ended.notify_one();
}

void RequestGateway::Execute(const CancelAttempt& cancel) {
  const auto pending = Find(cancel.request);
  if (pending == nullptr || !pending->attempts.contains(cancel.attempt)) {
    return;
  }
  auto request = HttpRequest();
  request.method = "POST";
  request.path = kCancelPath;
  request.headers[kRequestIdHeader] = std::to_string(cancel.request.value());
  request.timeout = kCancelTimeout;
  // If a cancellation is lost or dropped, the endpoint only finishes work that
  // nobody waits for.
  static_cast<void>(cancellers_.TrySubmit(
      [address = pending->attempts[cancel.attempt], request] {
        TryOr(
            [&]() -> Result<void> {
              BOOST_LEAF_CHECK(SendHttp(address, request));
              return {};
            },
            [](const Error&) {});
      }));
}

void RequestGateway::Execute(const SendRequestMessage& message) {
  send_(message);
}

auto RequestGateway::Find(RequestId request) const -> PendingPtr {
  const auto found = pending_.find(request);
  return found == pending_.end() ? nullptr : found->second;
}

void RequestGateway::RunAttempt(const DispatchRequest& dispatch) {
  const auto pending = ConfirmAttempt(dispatch);
  if (pending == nullptr || !CanConnect(dispatch.address, kConnectTimeout)) {
    CompleteAttempt(dispatch, AttemptOutcome::kNotSent, {});
    return;
  }
  const auto request =
      ToEndpointRequest(pending->request, dispatch, clock_.Now());
  auto answer = HttpResponse();
  const auto outcome = SendAttempt(dispatch, request, answer);
  CompleteAttempt(dispatch, outcome, std::move(answer));
}

auto RequestGateway::ConfirmAttempt(const DispatchRequest& dispatch)
    -> PendingPtr {
  const auto lock = std::lock_guard(mutex_);
  auto pending = Find(dispatch.request);
  const auto confirmed =
      pending != nullptr && plane_.ConfirmSend(dispatch, clock_.Now());
  return confirmed ? pending : nullptr;
}

auto RequestGateway::SendAttempt(const DispatchRequest& dispatch,
                                 const HttpRequest& request,
                                 HttpResponse& answer) -> AttemptOutcome {
  return TryOr(
      [&]() -> Result<AttemptOutcome> {
        BOOST_LEAF_ASSIGN(answer, SendHttp(dispatch.address, request));
        return ReadOutcome(answer);
      },
      [](const Error&) { return AttemptOutcome::kLost; });
}

void RequestGateway::CompleteAttempt(const DispatchRequest& dispatch,
                                     AttemptOutcome outcome,
                                     HttpResponse answer) {
  const auto lock = std::lock_guard(mutex_);
  const auto now = clock_.Now();
  auto result = AttemptResult{dispatch.request, dispatch.attempt,
                              dispatch.endpoint, outcome, std::nullopt};
  result.load = ReadLoad(answer, dispatch.endpoint, now);
  if (const auto pending = Find(dispatch.request)) {
    pending->answers[dispatch.attempt] = std::move(answer);
  }
  Execute(plane_.OnAttemptResult(result, now));
}

void RequestGateway::RunTimer(const std::stop_token& stop) {
  auto lock = std::unique_lock(mutex_);
  while (!stop.stop_requested()) {
    const auto now = clock_.Now();
    const auto wait = timer_due_ > now + kMaxTimerWait
                          ? kMaxTimerWait
                          : std::max(timer_due_ - now, kMinTimerWait);
    timer_changed_.wait_for(lock, stop, wait, [] { return false; });
    const auto woken = clock_.Now();
    if (woken >= timer_due_) {
      timer_due_ = TimePoint::max();
      Execute(plane_.OnTick(woken));
    }
  }
}

}  // namespace hemlockwick
