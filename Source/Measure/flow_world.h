#ifndef HEMLOCKWICK_MEASURE_FLOW_WORLD_H_
#define HEMLOCKWICK_MEASURE_FLOW_WORLD_H_

#include <cstddef>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

inline constexpr std::size_t kDataCentreCount = 3;

[[nodiscard]] auto DataCentreAt(std::size_t index) -> DataCentreId;

// What operators have published: the services, their endpoints and endpoint
// history.
class FlowWorld {
 public:
  FlowWorld(const std::vector<std::size_t>& endpoints_per_service,
            TimePoint now);

  // Changes of the first service; Publish puts them into force.
  void Drain(std::size_t index, TimePoint now);
  void Add(TimePoint now);

  auto Publish(TimePoint now) -> std::shared_ptr<const FleetConfig>;

  [[nodiscard]] auto config() const
      -> const std::shared_ptr<const FleetConfig>& {
    return config_;
  }

  // Whether the address belongs to an endpoint of another service.
  [[nodiscard]] auto IsForeign(const SocketAddress& address,
                               ServiceId service) const -> bool;

  // When the leaving of an endpoint was published; the latest time when not.
  [[nodiscard]] auto LeavingSince(EndpointId endpoint) const -> TimePoint;

  // The data centre of an endpoint that has ever been published.
  [[nodiscard]] auto DataCentreOf(EndpointId endpoint) const -> DataCentreId;

 private:
  auto MakeEndpoint(std::size_t service, TimePoint now) -> Endpoint;
  void ExtendEndpointHistory(std::size_t service, TimePoint now);

  std::vector<Service> services_;
  std::vector<TimePoint> set_began_;
  std::vector<std::shared_ptr<const Service>> published_;
  std::shared_ptr<const FleetConfig> config_;
  std::size_t next_endpoint_ = 0;
  std::uint64_t next_version_ = 1;
  std::unordered_map<EndpointId, Endpoint> known_;
  std::unordered_map<SocketAddress, ServiceId> service_of_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_WORLD_H_
