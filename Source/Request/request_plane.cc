#include "Request/request_plane.h"

#include <utility>

#include "Request/at_most_once.h"
#include "Request/likely_free_policy.h"
#include "Request/request_core.h"

namespace hemlockwick {

class RequestPlane::Impl : public RequestCore<LikelyFreePolicy, AtMostOnce> {
 public:
  using RequestCore::RequestCore;
};

RequestPlane::RequestPlane(const RequestPlaneSettings& settings,
                           InstanceId self, EventLog& /*events*/, TimePoint now)
    : impl_(std::make_unique<Impl>(
          settings, self,
          AtMostOnce(self, settings.max_keys,
                     settings.is_first_start ? TimePoint() : now),
          now)) {}

RequestPlane::~RequestPlane() = default;

auto RequestPlane::OnConfig(std::shared_ptr<const FleetConfig> config,
                            TimePoint now) -> RequestActions {
  return impl_->OnConfig(std::move(config), now);
}

auto RequestPlane::OnMembers(const MemberView& members, TimePoint now)
    -> RequestActions {
  return impl_->OnMembers(members, now);
}

auto RequestPlane::OnArrival(const RequestArrival& arrival, TimePoint now)
    -> RequestActions {
  return impl_->OnArrival(arrival, now);
}

auto RequestPlane::OnCallerGone(RequestId request, TimePoint now)
    -> RequestActions {
  return impl_->OnCallerGone(request, now);
}

auto RequestPlane::ConfirmSend(const DispatchRequest& dispatch, TimePoint now)
    -> bool {
  return impl_->ConfirmSend(dispatch, now);
}

auto RequestPlane::OnAttemptResult(const AttemptResult& result, TimePoint now)
    -> RequestActions {
  return impl_->OnAttemptResult(result, now);
}

auto RequestPlane::OnLoadReport(const EndpointLoad& load, TimePoint now)
    -> RequestActions {
  return impl_->OnLoadReport(load, now);
}

auto RequestPlane::OnMessage(InstanceId from, const RequestMessage& message,
                             TimePoint now) -> RequestActions {
  return impl_->OnMessage(from, message, now);
}

auto RequestPlane::OnTick(TimePoint now) -> RequestActions {
  return impl_->OnTick(now);
}

auto RequestPlane::BeginLeave(TimePoint now) -> RequestActions {
  return impl_->BeginLeave(now);
}

auto RequestPlane::NextTick() const -> TimePoint { return impl_->NextTick(); }

auto RequestPlane::LeaveDone() const -> bool { return impl_->LeaveDone(); }

auto RequestPlane::stats() const -> RequestStats { return impl_->stats(); }

}  // namespace hemlockwick
