#include "Request/request_plane.h"

#include <unordered_map>
#include <utility>

namespace hemlockwick {

namespace {

struct RunningRequest {
  EndpointId endpoint;
  bool idempotent = false;
  bool sent = false;
};

}  // namespace

class RequestPlane::Impl {
 public:
  std::shared_ptr<const FleetConfig> config;
  std::unordered_map<RequestId, RunningRequest> running;
  std::unordered_map<EndpointId, std::uint32_t> in_flight;
  RequestStats stats;
  bool leaving = false;

  auto Refuse(RequestId request, RefusalReason reason) -> RequestActions {
    ++stats.refused;
    return {RefuseRequest{request, reason, std::chrono::seconds(1)}};
  }

  // Returns the active endpoint with a free slot and the fewest requests.
  auto Choose(const Service& service) -> const Endpoint* {
    const Endpoint* best = nullptr;
    for (const auto& endpoint : service.endpoints) {
      const auto load = in_flight[endpoint.id];
      const auto usable =
          endpoint.state != EndpointState::kDraining && load < endpoint.slots;
      if (usable && (best == nullptr || load < in_flight[best->id])) {
        best = &endpoint;
      }
    }
    return best;
  }
};

RequestPlane::RequestPlane(const RequestPlaneSettings& /*settings*/,
                           InstanceId /*self*/, EventLog& /*events*/,
                           TimePoint /*now*/)
    : impl_(std::make_unique<Impl>()) {}

RequestPlane::~RequestPlane() = default;

auto RequestPlane::OnConfig(std::shared_ptr<const FleetConfig> config,
                            TimePoint /*now*/) -> RequestActions {
  impl_->config = std::move(config);
  return {};
}

auto RequestPlane::OnMembers(const MemberView& /*members*/, TimePoint /*now*/)
    -> RequestActions {
  return {};
}

auto RequestPlane::OnArrival(const RequestArrival& arrival, TimePoint now)
    -> RequestActions {
  ++impl_->stats.arrived;
  if (impl_->leaving) {
    return impl_->Refuse(arrival.request, RefusalReason::kStopping);
  }
  const auto* const service =
      impl_->config == nullptr ? nullptr
                               : FindService(*impl_->config, arrival.service);
  if (service == nullptr) {
    return impl_->Refuse(arrival.request, RefusalReason::kUnknownService);
  }
  if (arrival.deadline <= now) {
    return impl_->Refuse(arrival.request, RefusalReason::kDeadline);
  }
  const auto* const endpoint = impl_->Choose(*service);
  if (endpoint == nullptr) {
    return impl_->Refuse(arrival.request, RefusalReason::kQueueFull);
  }
  impl_->running[arrival.request] = {endpoint->id, arrival.idempotent, false};
  ++impl_->in_flight[endpoint->id];
  ++impl_->stats.dispatched;
  return {DispatchRequest{arrival.request, 1, endpoint->id, endpoint->address,
                          arrival.deadline}};
}

auto RequestPlane::OnCallerGone(RequestId request, TimePoint /*now*/)
    -> RequestActions {
  const auto found = impl_->running.find(request);
  if (found == impl_->running.end()) {
    return {};
  }
  return {CancelAttempt{request, 1, found->second.endpoint}};
}

auto RequestPlane::ConfirmSend(const DispatchRequest& dispatch, TimePoint now)
    -> bool {
  const auto found = impl_->running.find(dispatch.request);
  if (found == impl_->running.end() || now >= dispatch.deadline) {
    return false;
  }
  found->second.sent = true;
  return true;
}

auto RequestPlane::OnAttemptResult(const AttemptResult& result,
                                   TimePoint /*now*/) -> RequestActions {
  const auto found = impl_->running.find(result.request);
  if (found == impl_->running.end() || result.attempt != 1) {
    ++impl_->stats.late_answers;
    return {};
  }
  --impl_->in_flight[found->second.endpoint];
  impl_->running.erase(found);
  switch (result.outcome) {
    case AttemptOutcome::kAnswered:
      ++impl_->stats.answered;
      return {DeliverAnswer{result.request, result.attempt}};
    case AttemptOutcome::kLost:
      ++impl_->stats.outcome_unknown;
      return impl_->Refuse(result.request, RefusalReason::kOutcomeUnknown);
    case AttemptOutcome::kShed:
      ++impl_->stats.shed;
      [[fallthrough]];
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kCancelled:
      return impl_->Refuse(result.request, RefusalReason::kAttemptsSpent);
  }
  return {};
}

auto RequestPlane::OnLoadReport(const EndpointLoad& /*load*/, TimePoint /*now*/)
    -> RequestActions {
  return {};
}

auto RequestPlane::OnMessage(InstanceId /*from*/,
                             const RequestMessage& /*message*/,
                             TimePoint /*now*/) -> RequestActions {
  return {};
}

auto RequestPlane::OnTick(TimePoint /*now*/) -> RequestActions { return {}; }

auto RequestPlane::NextTick() const -> TimePoint { return TimePoint::max(); }

auto RequestPlane::BeginLeave(TimePoint /*now*/) -> RequestActions {
  impl_->leaving = true;
  return {};
}

auto RequestPlane::LeaveDone() const -> bool {
  return impl_->leaving && impl_->running.empty();
}

auto RequestPlane::stats() const -> RequestStats {
  auto stats = impl_->stats;
  stats.in_flight = impl_->running.size();
  return stats;
}

}  // namespace hemlockwick
