#ifndef HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/endpoint_index.h"
#include "Flow/endpoint_report.h"
#include "Flow/flow_token.h"
#include "Flow/route_table.h"

namespace hemlockwick {

// An endpoint that the platform has given up, with its last report. One that
// had not announced its leaving may still be alive, cut off from the platform.
struct DepartedEndpoint {
  EndpointReport report;
  FlowToken token;
  TimePoint since;
};

// An endpoint that the flow's route has not had among its targets.
struct ForeignEndpoint {};

// What a token names; monostate when nothing is known of it.
using ResolvedToken = std::variant<std::monostate, const DirectoryEndpoint*,
                                   const DepartedEndpoint*, ForeignEndpoint>;

// The directory at one moment, as read by traffic threads. Immutable.
class DirectorySnapshot {
 public:
  DirectorySnapshot(EndpointIndex endpoints,
                    std::vector<DepartedEndpoint> departed,
                    std::shared_ptr<const RouteTable> routes, bool is_settled,
                    std::uint64_t sequence, TimePoint made_at);

  // An endpoint with the token; null when there is none.
  [[nodiscard]] auto Find(FlowToken token) const -> const DirectoryEndpoint*;

  // A departed endpoint with the token; null when there is none.
  [[nodiscard]] auto FindDeparted(FlowToken token) const
      -> const DepartedEndpoint*;

  // The endpoint of an open flow of the route. Among endpoints with one token
  // those of the route's targets go first, then those of its earlier targets.
  [[nodiscard]] auto Resolve(FlowToken token, const Route& route,
                             TimePoint now) const -> ResolvedToken;

  [[nodiscard]] auto FindRoute(const SocketAddress& address) const
      -> const Route*;

  // A service's endpoints that take new flows.
  [[nodiscard]] auto EligibleEndpointsOf(ServiceId service) const
      -> std::span<const EndpointPointer> {
    return endpoints_.EligibleEndpointsOf(service);
  }

  [[nodiscard]] auto size() const -> std::size_t { return endpoints_.size(); }
  [[nodiscard]] auto departed() const -> const std::vector<DepartedEndpoint>& {
    return departed_;
  }
  [[nodiscard]] auto version() const -> Version;
  // Whether endpoints that are missing will not return: the platform has been
  // in touch for long enough.
  [[nodiscard]] auto is_settled() const -> bool { return is_settled_; }
  // Counts the snapshots of this process.
  [[nodiscard]] auto sequence() const -> std::uint64_t { return sequence_; }
  [[nodiscard]] auto made_at() const -> TimePoint { return made_at_; }

 private:
  const EndpointIndex endpoints_;
  const std::vector<DepartedEndpoint> departed_;
  const std::shared_ptr<const RouteTable> routes_;
  const bool is_settled_;
  const std::uint64_t sequence_;
  const TimePoint made_at_;
  std::unordered_multimap<FlowToken, std::uint32_t> departed_by_token_;
};

// A change of belief, for the log and the time line.
struct DirectoryEvent {
  enum class Kind {
    kEndpointAdded,
    kEndpointDraining,
    kEndpointWithheld,  // Its entry cannot be understood.
    kEndpointMissing,   // Gone from the platform; may come back.
    kEndpointReturned,  // Reported again after it was missing.
    kEndpointDeparted,  // Gone for certain.
    kEndpointShadowed,  // Another one of its service has its token.
    kRoutesInForce,
  };

  Kind kind = Kind::kEndpointAdded;
  EndpointId endpoint;
  Version version;
};

// Name of the kind as it appears in the log, for example "endpoint_added".
[[nodiscard]] auto ToString(DirectoryEvent::Kind kind) -> std::string;

// The endpoints and routes that the platform publishes. Owned by the control
// thread.
//
// An entry that is missing while the platform was well is gone; one that
// vanished around an outage may come back for kReturnGracePeriod after its end,
// and until then keeps its open flows but takes no new ones.
class EndpointDirectory {
 public:
  // Takes a report that the platform holds now.
  void Report(const EndpointReport& report);

  // Notes that the platform no longer holds the endpoint.
  void Remove(EndpointId endpoint, TimePoint now);

  // Notes that the platform's entry of the endpoint cannot be understood: it
  // keeps its open flows and takes no new ones until the next report.
  void Withhold(EndpointId endpoint);

  // Notes that the endpoints that `present` does not name are no longer held
  // by the platform.
  void RemoveOthers(const std::unordered_set<EndpointId>& present,
                    TimePoint now);

  // Takes routes; ignores a version that is not higher than the present one.
  // Returns whether it was taken.
  auto Publish(std::shared_ptr<const RouteSet> routes, TimePoint now) -> bool;

  void OnPlatformLost();

  // Notes that an outage, however short, ended at `end`.
  void OnPlatformBack(TimePoint end);

  // Moves missing endpoints whose time to return has passed to the departed
  // ones.
  void OnTick(TimePoint now);

  // Whether routes and at least one endpoint are known.
  [[nodiscard]] auto IsUsable() const -> bool;

  // The present state when it changed since the last call, otherwise null.
  [[nodiscard]] auto TakeSnapshot(TimePoint now)
      -> std::shared_ptr<const DirectorySnapshot>;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

  // The routes in force; null before the first ones.
  [[nodiscard]] auto routes() const -> std::shared_ptr<const RouteSet> {
    return routes_ == nullptr ? nullptr : routes_->routes();
  }

  // Events since the last call.
  [[nodiscard]] auto TakeEvents() -> std::vector<DirectoryEvent>;

 private:
  struct Entry {
    EndpointReport report;
    bool withheld = false;
    bool missing = false;
    TimePoint missing_since;
  };

  void AddEvent(DirectoryEvent::Kind kind, EndpointId endpoint);
  void UpdateIndex(const Entry& entry);
  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool;
  [[nodiscard]] auto MayStillReturn(const Entry& entry, TimePoint now) const
      -> bool;

  std::unordered_map<EndpointId, Entry> entries_;
  EndpointIndex index_;  // Of the entries, for snapshots.
  std::vector<DepartedEndpoint> departed_;
  std::shared_ptr<const RouteTable> routes_;
  std::vector<DirectoryEvent> events_;
  bool platform_lost_ = false;
  bool had_outage_ = false;
  bool is_settled_ = true;
  TimePoint outage_end_;
  bool changed_ = false;
  std::uint64_t sequence_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_
