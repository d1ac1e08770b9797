#include <criterion/criterion.h>

#include <chrono>
#include <memory>
#include <variant>

#include "Request/request_plane.h"
#include "Timeline/event_log.h"

namespace hemlockwick {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr ServiceId kService = ServiceId(7);

// One instance in front of a service with `endpoints` endpoints.
class PlaneFixture {
 public:
  explicit PlaneFixture(std::size_t endpoints = 2, std::uint32_t slots = 3)
      : events("test"),
        plane({.random_seed = 1, .is_first_start = true}, InstanceId(1), events,
              now) {
    auto view = MemberView();
    view.self = InstanceId(1);
    view.data_centre = DataCentreId(1);
    view.refreshed = now;
    auto member = Member();
    member.id = InstanceId(1);
    member.data_centre = DataCentreId(1);
    view.members.push_back(member);
    plane.OnMembers(view, now);
    service.id = kService;
    service.kind = ServiceKind::kRequest;
    for (auto index = std::size_t{0}; index < endpoints; ++index) {
      auto endpoint = Endpoint();
      endpoint.id = EndpointId(1 + index);
      endpoint.data_centre = DataCentreId(1);
      endpoint.slots = slots;
      service.endpoints.push_back(endpoint);
    }
    Publish();
  }

  auto Publish() -> RequestActions {
    ++version;
    return plane.OnConfig(
        BuildFleetConfig(Version(version), Digest(), now,
                         {{DataCentreId(1), "dc", RegionId(1)}},
                         {std::make_shared<Service>(service)}),
        now);
  }

  auto Arrive(std::uint64_t id, bool idempotent = false,
              std::uint64_t bytes = 100) -> RequestActions {
    auto arrival = RequestArrival();
    arrival.request = RequestId(id);
    arrival.service = kService;
    arrival.caller = CallerId(id);
    arrival.idempotent = idempotent;
    arrival.body_bytes = bytes;
    arrival.arrived = now;
    arrival.deadline = now + seconds(5);
    return plane.OnArrival(arrival, now);
  }

  auto ArriveWithKey(std::uint64_t id, IdempotencyKey key) -> RequestActions {
    auto arrival = RequestArrival();
    arrival.request = RequestId(id);
    arrival.service = kService;
    arrival.key = key;
    arrival.arrived = now;
    arrival.deadline = now + seconds(5);
    return plane.OnArrival(arrival, now);
  }

  auto Result(const DispatchRequest& dispatch, AttemptOutcome outcome)
      -> RequestActions {
    return plane.OnAttemptResult({dispatch.request, dispatch.attempt,
                                  dispatch.endpoint, outcome, std::nullopt},
                                 now);
  }

  // Advances the time from tick to tick and returns all actions.
  auto Advance(Duration duration) -> RequestActions {
    auto all = RequestActions();
    const auto end = now + duration;
    while (plane.NextTick() <= end) {
      now = std::max(now, plane.NextTick());
      const auto actions = plane.OnTick(now);
      all.insert(all.end(), actions.begin(), actions.end());
    }
    now = end;
    return all;
  }

  TimePoint now = kStart;
  EventLog events;
  RequestPlane plane;
  Service service;
  std::uint64_t version = 0;
};

template <typename Action>
auto Find(const RequestActions& actions) -> const Action* {
  for (const auto& action : actions) {
    if (const auto* const found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

Test(request_core, delivers_an_answer_once) {
  auto fixture = PlaneFixture();
  const auto arrived = fixture.Arrive(1);
  const auto dispatch = *Find<DispatchRequest>(arrived);
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  cr_assert_not(fixture.plane.ConfirmSend(dispatch, fixture.now));
  cr_assert_not_null(
      Find<DeliverAnswer>(fixture.Result(dispatch, AttemptOutcome::kAnswered)));
  cr_assert(fixture.Result(dispatch, AttemptOutcome::kAnswered).empty());
  cr_assert_eq(fixture.plane.stats().late_answers, 1);
}

Test(request_core, never_sends_a_lost_non_idempotent_request_again) {
  auto fixture = PlaneFixture();
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  const auto actions = fixture.Result(dispatch, AttemptOutcome::kLost);
  cr_assert_null(Find<DispatchRequest>(actions));
  cr_assert(Find<RefuseRequest>(actions)->reason ==
            RefusalReason::kOutcomeUnknown);
  cr_assert_null(Find<DispatchRequest>(fixture.Advance(seconds(10))));
}

Test(request_core, retries_what_was_not_run_within_the_budget) {
  auto fixture = PlaneFixture(4);
  auto refused = 0;
  auto retried = 0;
  for (auto id = std::uint64_t{1}; id <= 100; ++id) {
    const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(id));
    cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
    const auto actions = fixture.Result(dispatch, AttemptOutcome::kNotSent);
    const auto* const refusal = Find<RefuseRequest>(actions);
    refused += refusal != nullptr ? 1 : 0;
    if (refusal != nullptr) {
      cr_assert(IsNotRun(refusal->reason));
      continue;
    }
    ++retried;
    auto second = Find<DispatchRequest>(actions) != nullptr
                      ? actions
                      : fixture.Advance(milliseconds(500));
    fixture.Result(*Find<DispatchRequest>(second), AttemptOutcome::kAnswered);
  }
  cr_assert_leq(retried, 10);
  cr_assert_geq(retried, 8);
  cr_assert_eq(refused + retried, 100);
}

Test(request_core, sends_nothing_on_a_stale_view_after_a_suspension) {
  auto fixture = PlaneFixture();
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  fixture.now += seconds(3);
  cr_assert_not(fixture.plane.ConfirmSend(dispatch, fixture.now));
  cr_assert_null(Find<DispatchRequest>(fixture.plane.OnTick(fixture.now)));
  for (auto& endpoint : fixture.service.endpoints) {
    endpoint.state = EndpointState::kDraining;
  }
  const auto actions = fixture.Publish();
  cr_assert_null(Find<DispatchRequest>(actions));
  cr_assert(Find<RefuseRequest>(actions)->reason == RefusalReason::kNoEndpoint);
}

Test(request_core, a_dispatch_past_its_deadline_is_not_sent) {
  auto fixture = PlaneFixture();
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  fixture.now += seconds(1);
  fixture.plane.OnTick(fixture.now);
  cr_assert_not(fixture.plane.ConfirmSend(dispatch, fixture.now));
  const auto actions = fixture.Advance(seconds(6));
  cr_assert(IsNotRun(Find<RefuseRequest>(actions)->reason));
}

Test(request_core, a_drained_endpoint_gets_no_new_work_and_ends_its_own) {
  auto fixture = PlaneFixture(2);
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  for (auto& endpoint : fixture.service.endpoints) {
    if (endpoint.id == dispatch.endpoint) {
      endpoint.state = EndpointState::kDraining;
    }
  }
  fixture.Publish();
  for (auto id = std::uint64_t{2}; id <= 20; ++id) {
    const auto actions = fixture.Arrive(id);
    if (const auto* const next = Find<DispatchRequest>(actions)) {
      cr_assert(next->endpoint != dispatch.endpoint);
    }
  }
  cr_assert_not_null(
      Find<DeliverAnswer>(fixture.Result(dispatch, AttemptOutcome::kAnswered)));
}

Test(request_core, long_work_leaves_the_last_slot_to_short_work) {
  auto fixture = PlaneFixture(1);
  constexpr std::uint64_t kLong = 1 << 20;
  auto dispatched = 0;
  for (auto id = std::uint64_t{1}; id <= 5; ++id) {
    dispatched +=
        Find<DispatchRequest>(fixture.Arrive(id, true, kLong)) ? 1 : 0;
  }
  cr_assert_eq(dispatched, 2);
  cr_assert_not_null(Find<DispatchRequest>(fixture.Arrive(10)));
}

Test(request_core, runs_long_work_where_endpoints_have_one_slot) {
  auto fixture = PlaneFixture(1, 1);
  cr_assert_not_null(Find<DispatchRequest>(fixture.Arrive(1, true, 1 << 20)));
}

Test(request_core, cancels_at_the_endpoint_when_the_caller_leaves) {
  auto fixture = PlaneFixture();
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  const auto actions = fixture.plane.OnCallerGone(RequestId(1), fixture.now);
  cr_assert_not_null(Find<CancelAttempt>(actions));
  cr_assert_null(
      Find<DeliverAnswer>(fixture.Result(dispatch, AttemptOutcome::kAnswered)));
  cr_assert_eq(fixture.plane.stats().in_flight, 0);
}

Test(request_core, runs_a_key_once) {
  auto fixture = PlaneFixture();
  const auto key = IdempotencyKey(99);
  const auto dispatch = *Find<DispatchRequest>(fixture.ArriveWithKey(1, key));
  cr_assert(Find<RefuseRequest>(fixture.ArriveWithKey(2, key))->reason ==
            RefusalReason::kInProgress);
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  cr_assert_not_null(
      Find<DeliverAnswer>(fixture.Result(dispatch, AttemptOutcome::kAnswered)));
  const auto repeat = fixture.ArriveWithKey(3, key);
  cr_assert_null(Find<DispatchRequest>(repeat));
  cr_assert_not(IsNotRun(Find<RefuseRequest>(repeat)->reason));
}

Test(request_core, lets_a_key_run_after_an_attempt_that_did_not) {
  auto fixture = PlaneFixture();
  const auto key = IdempotencyKey(99);
  const auto dispatch = *Find<DispatchRequest>(fixture.ArriveWithKey(1, key));
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  fixture.Result(dispatch, AttemptOutcome::kNotSent);
  cr_assert_not_null(Find<DispatchRequest>(fixture.ArriveWithKey(2, key)));
}

Test(request_core, a_leaving_instance_ends_its_work_and_refuses_more) {
  auto fixture = PlaneFixture();
  const auto dispatch = *Find<DispatchRequest>(fixture.Arrive(1));
  cr_assert(fixture.plane.ConfirmSend(dispatch, fixture.now));
  fixture.plane.BeginLeave(fixture.now);
  cr_assert(Find<RefuseRequest>(fixture.Arrive(2))->reason ==
            RefusalReason::kStopping);
  cr_assert_not(fixture.plane.LeaveDone());
  fixture.Result(dispatch, AttemptOutcome::kAnswered);
  cr_assert(fixture.plane.LeaveDone());
}

Test(request_core, bounds_its_queue_and_returns_a_retry_delay) {
  auto fixture = PlaneFixture(1);
  auto refused = 0;
  for (auto id = std::uint64_t{1}; id <= 400; ++id) {
    const auto actions = fixture.Arrive(id);
    if (const auto* const refusal = Find<RefuseRequest>(actions)) {
      ++refused;
      cr_assert(IsNotRun(refusal->reason));
      cr_assert_geq(refusal->retry_after.count(), Duration(seconds(1)).count());
    }
  }
  // Three of the first requests run. Those that remain queued are no more than
  // six a second can serve within five seconds.
  const auto queued = fixture.plane.stats().queued;
  cr_assert_eq(refused + queued + 3, 400);
  cr_assert_leq(queued, 6 * 5 + 3);
  cr_assert_geq(queued, 10);
}

}  // namespace
}  // namespace hemlockwick
