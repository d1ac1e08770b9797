#include "Measure/request_slopes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "Measure/replay_audit.h"
#include "Request/request_plane.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kServiceName = "measured";
constexpr std::size_t kRounds = 7;
constexpr std::size_t kRequestsPerRound = 20'000;
constexpr Duration kGap = std::chrono::microseconds(200);
constexpr std::uint32_t kCallers = 1'000;

auto MakeConfig(std::size_t endpoints, std::uint64_t version)
    -> std::shared_ptr<const FleetConfig> {
  auto service = std::make_shared<Service>();
  service->id = IdFromName<ServiceId>(kServiceName);
  service->name = kServiceName;
  service->kind = ServiceKind::kRequest;
  const auto centre = IdFromName<DataCentreId>("dc");
  for (auto index = std::size_t{0}; index < endpoints; ++index) {
    auto endpoint = Endpoint();
    endpoint.id = EndpointId(1 + index);
    endpoint.data_centre = centre;
    service->endpoints.push_back(endpoint);
  }
  return BuildFleetConfig(Version(version), Digest(), kReplayStart,
                          {{centre, "dc", IdFromName<RegionId>("region")}},
                          {std::move(service)});
}

auto MakeMembers() -> MemberView {
  auto view = MemberView();
  view.self = InstanceId(1);
  view.data_centre = IdFromName<DataCentreId>("dc");
  auto member = Member();
  member.id = view.self;
  member.data_centre = view.data_centre;
  view.members.push_back(member);
  return view;
}

// A request plane that answers its own dispatches at once.
class SelfAnsweringPlane {
 public:
  SelfAnsweringPlane(std::size_t endpoints, std::uint64_t seed)
      : events_("measure"),
        plane_({.random_seed = seed}, InstanceId(1), events_, now_),
        endpoints_(endpoints) {
    plane_.OnMembers(MakeMembers(), now_);
    plane_.OnConfig(MakeConfig(endpoints_, 1), now_);
  }

  // Returns the seconds that a round of requests took.
  auto RunRequests() -> double {
    const auto started = Clock::now();
    for (auto count = std::size_t{0}; count < kRequestsPerRound; ++count) {
      RunRequest();
    }
    return ToSeconds(Clock::now() - started);
  }

  // Returns the seconds that a new version of the configuration took.
  auto TakeVersion(std::uint64_t version) -> double {
    const auto config = MakeConfig(endpoints_, version);
    const auto started = Clock::now();
    plane_.OnConfig(config, now_);
    return ToSeconds(Clock::now() - started);
  }

 private:
  void RunRequest() {
    now_ += kGap;
    auto arrival = RequestArrival();
    arrival.request = RequestId(++last_request_);
    arrival.service = IdFromName<ServiceId>(kServiceName);
    arrival.caller = CallerId(last_request_ % kCallers);
    arrival.arrived = now_;
    arrival.deadline = now_ + std::chrono::seconds(1);
    Answer(plane_.OnArrival(arrival, now_));
    if (plane_.NextTick() <= now_) {
      Answer(plane_.OnTick(now_));
    }
  }

  void Answer(const RequestActions& actions) {
    for (const auto& action : actions) {
      const auto* const dispatch = std::get_if<DispatchRequest>(&action);
      if (dispatch == nullptr || !plane_.ConfirmSend(*dispatch, now_)) {
        continue;
      }
      auto result = AttemptResult{dispatch->request, dispatch->attempt,
                                  dispatch->endpoint, AttemptOutcome::kAnswered,
                                  EndpointLoad{dispatch->endpoint, 0, 0, now_}};
      plane_.OnAttemptResult(result, now_);
    }
  }

  TimePoint now_ = kReplayStart;
  EventLog events_;
  RequestPlane plane_;
  std::size_t endpoints_;
  std::uint64_t last_request_ = 0;
};

}  // namespace

auto DecisionSeconds(std::size_t endpoints, std::uint64_t seed) -> double {
  auto plane = SelfAnsweringPlane(endpoints, seed);
  auto least = std::numeric_limits<double>::max();
  for (auto round = std::size_t{0}; round < kRounds; ++round) {
    least = std::min(least, plane.RunRequests());
  }
  return least / static_cast<double>(kRequestsPerRound);
}

auto RequestSlopes(std::uint64_t seed) -> std::vector<Slope> {
  constexpr std::array<std::size_t, 4> kSizes = {14, 1'000, 10'000, 61'000};
  auto decision = Slope{"request.decision", "endpoint of the service", "s", {}};
  auto version =
      Slope{"request.version_change", "endpoint of the service", "s", {}};
  for (const auto size : kSizes) {
    const auto endpoints = static_cast<double>(size);
    decision.samples.push_back({endpoints, DecisionSeconds(size, seed)});
    auto plane = SelfAnsweringPlane(size, seed);
    plane.RunRequests();
    auto least = std::numeric_limits<double>::max();
    for (auto round = std::uint64_t{0}; round < kRounds; ++round) {
      least = std::min(least, plane.TakeVersion(2 + round));
    }
    version.samples.push_back({endpoints, least});
  }
  return {decision, version};
}

}  // namespace hemlockwick
