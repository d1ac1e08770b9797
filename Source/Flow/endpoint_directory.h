#ifndef HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_
#define HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Flow/endpoint_index.h"
#include "Flow/endpoint_report.h"
#include "Flow/evacuation_list.h"
#include "Flow/flow_token.h"
#include "Flow/route_table.h"

namespace hemlockwick {

// An endpoint whose entry the platform no longer holds, with its last report.
// One that was not draining may still be alive and only disconnected from the
// platform.
struct DepartedEndpoint {
  EndpointReport report;
  FlowToken token;
  TimePoint since;          // It can no longer return.
  TimePoint missing_since;  // The platform no longer holds its entry.
};

// The token names an endpoint that was never among the targets of the flow's
// route.
struct ForeignEndpoint {};

// Result of resolving a token; monostate if the token is unknown.
using ResolvedToken = std::variant<std::monostate, const DirectoryEndpoint*,
                                   const DepartedEndpoint*, ForeignEndpoint>;

// Snapshot of the directory of endpoints for traffic threads: the endpoints by
// token and by service, and the routes. Immutable.
class DirectorySnapshot {
 public:
  DirectorySnapshot(EndpointIndex endpoints,
                    std::vector<DepartedEndpoint> departed,
                    std::shared_ptr<const RouteTable> routes,
                    std::shared_ptr<const EvacuatedDataCentres> evacuated,
                    bool is_settled, std::uint64_t sequence, TimePoint made_at);

  // An endpoint with the token; null when there is none.
  [[nodiscard]] auto Find(FlowToken token) const -> const DirectoryEndpoint*;

  // A departed endpoint with the token; null when there is none.
  [[nodiscard]] auto FindDeparted(FlowToken token) const
      -> const DepartedEndpoint*;

  // Returns the endpoint of an open flow of the route. If several endpoints
  // have the token, those of the route's targets are preferred, then those of
  // its earlier targets.
  [[nodiscard]] auto Resolve(FlowToken token, const Route& route,
                             TimePoint now) const -> ResolvedToken;

  [[nodiscard]] auto FindRoute(const SocketAddress& address) const
      -> const Route*;

  // Openings a second that a cold endpoint of the service bears; 0 when that is
  // not published.
  [[nodiscard]] auto ColdOpeningsPerSecond(ServiceId service) const -> double;

  // The service's endpoints that accept new flows.
  [[nodiscard]] auto EligibleEndpointsOf(ServiceId service) const
      -> std::span<const EndpointPointer> {
    return endpoints_.EligibleEndpointsOf(service);
  }

  // The time at which this instance learned that the data centre is evacuated;
  // nullopt if it is not. Endpoints there get no new flows.
  [[nodiscard]] auto EvacuatedSince(DataCentreId data_centre) const
      -> std::optional<TimePoint>;

  // Whether the service has endpoints, and all of them are in evacuated data
  // centres.
  [[nodiscard]] auto IsEvacuated(ServiceId service) const -> bool;

  [[nodiscard]] auto size() const -> std::size_t { return endpoints_.size(); }
  [[nodiscard]] auto departed() const -> const std::vector<DepartedEndpoint>& {
    return departed_;
  }
  [[nodiscard]] auto version() const -> Version;
  // Whether missing endpoints are certain not to return, because the platform
  // has been reachable for long enough.
  [[nodiscard]] auto is_settled() const -> bool { return is_settled_; }
  // Sequence number of the snapshot within this process.
  [[nodiscard]] auto sequence() const -> std::uint64_t { return sequence_; }
  [[nodiscard]] auto made_at() const -> TimePoint { return made_at_; }

 private:
  const EndpointIndex endpoints_;
  const std::vector<DepartedEndpoint> departed_;
  const std::shared_ptr<const RouteTable> routes_;
  const std::shared_ptr<const EvacuatedDataCentres> evacuated_;
  const bool is_settled_;
  const std::uint64_t sequence_;
  const TimePoint made_at_;
  std::unordered_multimap<FlowToken, std::uint32_t> departed_by_token_;
};

// A change in the state of an endpoint or of the routes, for the log and the
// timeline.
struct DirectoryEvent {
  enum class Kind {
    kEndpointAdded,
    kEndpointDraining,
    kEndpointWithheld,  // Its entry cannot be parsed.
    kEndpointMissing,   // Its entry is gone; it may come back.
    kEndpointReturned,  // Reported again after it was missing.
    kEndpointDeparted,  // It will not come back.
    // Its service has another with its token, or another entry names it.
    kEndpointShadowed,
    kRoutesInForce,
  };

  Kind kind = Kind::kEndpointAdded;
  EndpointId endpoint;
  Version version;
};

// Name of the kind as it appears in the log, for example "endpoint_added".
[[nodiscard]] auto ToString(DirectoryEvent::Kind kind) -> std::string;

// Directory of the endpoints and routes that the platform publishes. Used by
// the control thread only.
//
// An endpoint whose entry disappears while the platform is reachable has
// departed. One whose entry disappears around an outage may report again until
// kReturnGracePeriod after the outage; until then it keeps its open flows and
// accepts no new ones. After the platform was restored from an older copy, its
// entries may also be those of endpoints that have drained or departed since.
class EndpointDirectory {
 public:
  // Adds or updates the endpoint of a report that the platform holds. When
  // several entries name one endpoint, the one that was created first is its
  // own, on all instances alike; another one counts after that has departed.
  void Report(const EndpointReport& report);

  // Marks the endpoint as missing if the entry, which the platform no longer
  // holds, is its own.
  void Remove(const EntryRef& ref, TimePoint now);

  // Handles an entry that cannot be parsed. If it is the endpoint's own, the
  // endpoint keeps its open flows and accepts no new ones until the next
  // report.
  void Withhold(const EntryRef& ref);

  // Marks all endpoints as missing whose entries are not in `present`, those
  // that the platform holds.
  void RemoveOthers(const EntrySet& present, TimePoint now);

  // Puts routes in force, unless their version is not higher than the present
  // one. Returns whether they were accepted.
  auto Publish(std::shared_ptr<const RouteSet> routes, TimePoint now) -> bool;

  void OnPlatformLost();

  // Records that an outage of the platform, however short, ended at `end`.
  void OnPlatformBack(TimePoint end);

  // Records that the platform has come back with an older state at `now`. Until
  // its writers have repeated what is lost, no entry puts an endpoint in use
  // again that has drained or departed.
  void OnPlatformRestored(TimePoint now);

  // The evacuations of data centres, part of the snapshots.
  [[nodiscard]] auto evacuations() -> EvacuationList& { return evacuations_; }

  // Moves missing endpoints to the departed ones once they can no longer
  // return.
  void OnTick(TimePoint now);

  // Whether routes and at least one endpoint are known.
  [[nodiscard]] auto IsUsable() const -> bool;

  // Returns a snapshot if the state has changed since the last call, otherwise
  // null.
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
  auto Rival(const EndpointReport& report) -> Entry*;
  void SetAside(const EndpointReport& report);
  void ForgetRival(const EntryRef& ref);
  void AcceptRivalOf(EndpointId departed);
  void UpdateIndex(const Entry& entry);
  void Accept(const EndpointReport& report);
  [[nodiscard]] auto IsOutdated(const EndpointReport& report) const -> bool;
  void AcceptDeferred(TimePoint now);
  [[nodiscard]] auto IsSettled(TimePoint now) const -> bool;
  [[nodiscard]] auto MayStillReturn(const Entry& entry, TimePoint now) const
      -> bool;

  std::unordered_map<EndpointId, Entry> entries_;
  EndpointIndex index_;  // Copied into snapshots.
  std::vector<DepartedEndpoint> departed_;
  std::shared_ptr<const RouteTable> routes_;
  EvacuationList evacuations_;
  // Those in the last snapshot.
  std::shared_ptr<const EvacuatedDataCentres> published_evacuations_ =
      evacuations_.Current();
  std::vector<DirectoryEvent> events_;
  bool platform_lost_ = false;
  bool had_outage_ = false;
  bool is_settled_ = true;
  TimePoint outage_end_;
  // After the platform was restored: until when older reports are deferred, and
  // those reports.
  std::optional<TimePoint> defers_until_;
  TimePoint restored_at_;
  std::unordered_map<EndpointId, EndpointReport> deferred_;
  // Reports of entries that name an endpoint with another entry of its own.
  std::vector<EndpointReport> rivals_;
  bool changed_ = false;
  std::uint64_t sequence_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENDPOINT_DIRECTORY_H_
