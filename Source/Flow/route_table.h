#ifndef HEMLOCKWICK_FLOW_ROUTE_TABLE_H_
#define HEMLOCKWICK_FLOW_ROUTE_TABLE_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// A service that a route sends new flows to, with its share.
struct RouteTarget {
  ServiceId service;
  std::uint32_t weight = 1;

  friend auto operator==(const RouteTarget&, const RouteTarget&)
      -> bool = default;
};

// A service address and where its new flows go.
struct Route {
  SocketAddress address;
  std::vector<RouteTarget> targets;
  // Whether its requests may run more than once, so that their callers retry
  // when a flow is reset.
  bool idempotent = false;

  friend auto operator==(const Route&, const Route&) -> bool = default;
};

// Whether new flows of the route may go to the service.
[[nodiscard]] auto IsTarget(const Route& route, ServiceId service) -> bool;

// What the endpoints of a service are published to bear.
struct ServiceLimits {
  ServiceId service;
  // Openings a second that a cold endpoint bears; 0: not published.
  double cold_openings_per_second = 0;

  friend auto operator==(const ServiceLimits&, const ServiceLimits&)
      -> bool = default;
};

// All routes of one published configuration.
struct RouteSet {
  Version version;
  std::vector<Route> routes;
  std::vector<ServiceLimits> services{};
};

// The routes in force, by their address, with the earlier targets to which open
// flows may still belong. Immutable.
class RouteTable {
 public:
  // Replaces `previous`, null for the first table, at `now`.
  RouteTable(std::shared_ptr<const RouteSet> routes, const RouteTable* previous,
             TimePoint now);

  [[nodiscard]] auto Find(const SocketAddress& address) const -> const Route*;

  // Whether an open flow of the route may belong to an endpoint of the service.
  // True of any service until this process has known the targets for a whole
  // flow lifetime.
  [[nodiscard]] auto MayServe(const Route& route, ServiceId service,
                              TimePoint now) const -> bool;

  // Openings a second that a cold endpoint of the service bears; 0 when that is
  // not published.
  [[nodiscard]] auto ColdOpeningsPerSecond(ServiceId service) const -> double;

  [[nodiscard]] auto routes() const -> const std::shared_ptr<const RouteSet>& {
    return routes_;
  }

 private:
  // A target that a route no longer has.
  struct FormerTarget {
    ServiceId service;
    TimePoint until;  // Its flows have ended by then.
  };

  void KeepFormerTargets(const RouteTable& previous, TimePoint now);

  std::shared_ptr<const RouteSet> routes_;
  std::unordered_map<SocketAddress, const Route*> by_address_;
  std::unordered_map<ServiceId, double> cold_openings_per_second_;
  std::unordered_map<SocketAddress, std::vector<FormerTarget>> former_;
  TimePoint history_complete_at_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ROUTE_TABLE_H_
