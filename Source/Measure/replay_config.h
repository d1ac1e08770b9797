#ifndef HEMLOCKWICK_MEASURE_REPLAY_CONFIG_H_
#define HEMLOCKWICK_MEASURE_REPLAY_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"
#include "Measure/endpoint_fake.h"

namespace hemlockwick {

// The configuration and the members that the instances of a replay see. Its
// endpoints and instances take turns over the data centres.

// What a version of the configuration of a replay is made from.
struct ReplayConfigInputs {
  Version version;
  std::size_t data_centres = 1;
  std::size_t slots = 1;  // Of each endpoint.
  std::uint32_t max_requests_per_second = 0;
};

// The service that all requests of a replay go to.
[[nodiscard]] auto ReplayService() -> ServiceId;

// Makes a version of the configuration, published at `now`. An endpoint drains
// unless its time in `draining_since` is TimePoint::max(); another one is cold
// while its work takes longer than usual.
[[nodiscard]] auto MakeReplayConfig(
    const ReplayConfigInputs& inputs,
    const std::vector<EndpointFake>& endpoints,
    const std::vector<TimePoint>& draining_since, TimePoint now)
    -> std::shared_ptr<const FleetConfig>;

// The members of a fleet with the ids 1 to `instances`, as `self` sees them.
[[nodiscard]] auto MakeReplayMembers(InstanceId self, std::size_t instances,
                                     std::size_t data_centres, TimePoint now)
    -> MemberView;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REPLAY_CONFIG_H_
