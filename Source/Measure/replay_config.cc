#include "Measure/replay_config.h"

#include <string>
#include <utility>

namespace hemlockwick {

namespace {

constexpr auto kServiceName = "rollfloor";

auto DataCentreOf(std::size_t number, std::size_t count) -> DataCentreId {
  return IdFromName<DataCentreId>("dc-" + std::to_string(number % count));
}

}  // namespace

auto ReplayService() -> ServiceId {
  return IdFromName<ServiceId>(kServiceName);
}

auto MakeReplayConfig(const ReplayConfigInputs& inputs,
                      const std::vector<EndpointFake>& endpoints,
                      const std::vector<TimePoint>& draining_since,
                      TimePoint now) -> std::shared_ptr<const FleetConfig> {
  auto service = std::make_shared<Service>();
  service->id = ReplayService();
  service->name = kServiceName;
  service->kind = ServiceKind::kRequest;
  service->contract.max_requests_per_second = inputs.max_requests_per_second;
  auto centres = std::vector<DataCentre>();
  for (auto index = std::size_t{0}; index < inputs.data_centres; ++index) {
    centres.push_back({DataCentreOf(index, inputs.data_centres), "",
                       IdFromName<RegionId>("region")});
  }
  for (auto index = std::size_t{0}; index < endpoints.size(); ++index) {
    auto endpoint = Endpoint();
    endpoint.id = endpoints[index].id();
    endpoint.data_centre = DataCentreOf(index, inputs.data_centres);
    endpoint.slots = static_cast<std::uint32_t>(inputs.slots);
    if (draining_since[index] != TimePoint::max()) {
      endpoint.state = EndpointState::kDraining;
    } else if (endpoints[index].slowness() > 1) {
      endpoint.state = EndpointState::kCold;
    }
    endpoint.state_since = now;
    service->endpoints.push_back(endpoint);
  }
  return BuildFleetConfig(inputs.version, Digest(), now, std::move(centres),
                          {service});
}

auto MakeReplayMembers(InstanceId self, std::size_t instances,
                       std::size_t data_centres, TimePoint now) -> MemberView {
  auto view = MemberView();
  view.self = self;
  view.data_centre = DataCentreOf(self.value() - 1, data_centres);
  view.refreshed = now;
  for (auto number = std::size_t{0}; number < instances; ++number) {
    auto member = Member();
    member.id = InstanceId(1 + number);
    member.data_centre = DataCentreOf(number, data_centres);
    view.members.push_back(member);
  }
  return view;
}

}  // namespace hemlockwick
