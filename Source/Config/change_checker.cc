#include "Config/change_checker.h"

#include <algorithm>
#include <chrono>

#include "Config/endpoint_set.h"
#include "Config/service_builder.h"
#include "Config/utc_time.h"

namespace hemlockwick {

namespace {

// Returns the time at which the endpoint's last flow has ended, or
// TimePoint::max() while the endpoint is not draining.
auto DrainedAt(const Service& service, const Endpoint& endpoint) -> TimePoint {
  const auto is_drained = endpoint.state == EndpointState::kDraining;
  return is_drained ? endpoint.state_since + service.flow_lifetime
                    : TimePoint::max();
}

// Returns the time at which the last flow of an earlier endpoint set has ended.
// The set must not be the current one.
auto EndOfSet(const Service& service, std::size_t position) -> TimePoint {
  return service.endpoint_history[position + 1].published +
         service.flow_lifetime;
}

// Returns the time at which the service's last flow has ended.
auto DrainedAt(const Service& service) -> TimePoint {
  auto time = TimePoint();
  for (const auto& endpoint : service.endpoints) {
    time = std::max(time, DrainedAt(service, endpoint));
  }
  for (std::size_t at = 0; at + 1 < service.endpoint_history.size(); ++at) {
    time = std::max(time, EndOfSet(service, at));
  }
  return time;
}

// Returns whether the object has an address. A missing address has already been
// reported by ObjectReader.
auto IsSet(const SocketAddress& address) -> bool {
  return address != SocketAddress();
}

auto HasEndpoint(const Service& service, EndpointId id) -> bool {
  return std::any_of(
      service.endpoints.begin(), service.endpoints.end(),
      [id](const Endpoint& endpoint) { return endpoint.id == id; });
}

}  // namespace

ChangeChecker::ChangeChecker(const FleetConfig& previous,
                             std::string previous_file)
    : previous_(previous), previous_file_(std::move(previous_file)) {}

auto ChangeChecker::Check(const std::vector<PlacedService>& placed,
                          const FleetConfig& next, TimePoint published)
    -> Findings {
  ReserveAddresses(published);
  CheckRemoved(next, published);
  for (const auto& service : placed) {
    const auto id = IdFromName<ServiceId>(service.service->name);
    const auto* const built = FindService(next, id);
    if (built != nullptr) {
      CheckService(service, *built, published);
    }
  }
  return std::move(findings_);
}

void ChangeChecker::ReserveAddresses(TimePoint published) {
  for (const auto& service : previous_.services) {
    if (DrainedAt(*service) > published) {
      Reserve(service->address, *service, DrainedAt(*service));
    }
    for (const auto& endpoint : service->endpoints) {
      Reserve(endpoint.address, *service, DrainedAt(*service, endpoint));
    }
    for (std::size_t at = 0; at + 1 < service->endpoint_history.size(); ++at) {
      for (const auto& endpoint : service->endpoint_history[at].endpoints) {
        Reserve(endpoint.address, *service, EndOfSet(*service, at));
      }
    }
  }
}

void ChangeChecker::Reserve(const SocketAddress& address,
                            const Service& service, TimePoint until) {
  auto& reservation = reservations_[address];
  if (reservation.service == nullptr || reservation.until < until) {
    reservation = AddressReservation{&service, until};
  }
}

void ChangeChecker::CheckRemoved(const FleetConfig& next, TimePoint published) {
  for (const auto& service : previous_.services) {
    const auto until = DrainedAt(*service);
    if (FindService(next, service->id) != nullptr || until <= published) {
      continue;
    }
    const auto remedy =
        until == TimePoint::max()
            ? std::string(
                  "set all of its endpoints to draining and remove it when "
                  "its flow lifetime has passed")
            : "remove it after " + FormatUtc(until);
    Report(Severity::kError, SourceLocation{previous_file_, 0, 0},
           "service " + service->name, "is removed while not drained", remedy);
  }
}

void ChangeChecker::CheckService(const PlacedService& placed,
                                 const Service& next, TimePoint published) {
  const auto& object = *placed.service;
  const auto name = "service " + object.name;
  CheckReservation(object.address, object.address_place, name, next, published);
  for (const auto* endpoint : placed.endpoints) {
    CheckReservation(endpoint->address, endpoint->address_place,
                     "endpoint " + endpoint->name, next, published);
  }
  const auto* const previous = FindService(previous_, next.id);
  if (previous == nullptr) {
    return;
  }
  CheckFixedFields(object, *previous, next);
  CheckEndpoints(placed, *previous, next);
  if (next.endpoint_history.size() > kMaxEndpointHistory) {
    Report(Severity::kError, object.place, name,
           "has more than " + std::to_string(kMaxEndpointHistory) +
               " endpoint sets that may still have flows",
           "change its endpoints less often or shorten its flow_lifetime");
  }
}

void ChangeChecker::CheckFixedFields(const ServiceObject& object,
                                     const Service& previous,
                                     const Service& next) {
  const auto name = "service " + object.name;
  const auto* const remedy =
      "add a service of another name, move the callers, drain this one";
  if (next.address != previous.address && IsSet(next.address)) {
    Report(Severity::kError, object.address_place, name,
           "its address changes from " + ToString(previous.address), remedy);
  }
  if (next.kind != previous.kind) {
    Report(Severity::kError, object.place, name, "its mode changes", remedy);
  }
  if (next.bucket_count != previous.bucket_count) {
    Report(Severity::kError, object.place, name,
           "its number of buckets changes from " +
               std::to_string(previous.bucket_count),
           "keep the number");
  }
  if (next.flow_lifetime < previous.flow_lifetime) {
    Report(Severity::kWarning, object.place, name,
           "flow_lifetime decreases; older flows may break",
           "keep it until they have ended");
  }
}

void ChangeChecker::CheckEndpoints(const PlacedService& placed,
                                   const Service& previous,
                                   const Service& next) {
  const auto& object = *placed.service;
  const auto name = "service " + object.name;
  const auto accepted_new_flows = !NewFlowEndpoints(previous).empty();
  const auto any_kept =
      std::any_of(previous.endpoints.begin(), previous.endpoints.end(),
                  [&next](const Endpoint& endpoint) {
                    return HasEndpoint(next, endpoint.id);
                  });
  if (accepted_new_flows && !any_kept) {
    Report(Severity::kError, object.place, name,
           "loses all of its endpoints at once",
           "keep them as draining beside the new ones");
  }
  if (accepted_new_flows && NewFlowEndpoints(next).empty()) {
    Report(Severity::kWarning, object.place, name,
           "no longer accepts new flows or requests",
           "leave an endpoint active unless the service is to end");
  }
  for (const auto* endpoint : placed.endpoints) {
    const auto id = IdFromName<EndpointId>(endpoint->name);
    for (const auto& earlier : previous.endpoints) {
      if (earlier.id == id && earlier.address != endpoint->address &&
          IsSet(endpoint->address)) {
        Report(Severity::kError, endpoint->address_place,
               "endpoint " + endpoint->name,
               "its address changes from " + ToString(earlier.address),
               "give the endpoint at the new address a new name");
      }
    }
  }
}

void ChangeChecker::CheckReservation(const SocketAddress& address,
                                     const SourceLocation& place,
                                     const std::string& object,
                                     const Service& user, TimePoint published) {
  const auto found = reservations_.find(address);
  if (found == reservations_.end() || found->second.service->id == user.id ||
      found->second.until <= published) {
    return;
  }
  const auto& reservation = found->second;
  const auto remedy =
      reservation.until == TimePoint::max()
          ? std::string("use another address, or drain it there first")
          : "use another address, or wait until " +
                FormatUtc(reservation.until);
  Report(Severity::kError, place, object,
         "address " + ToString(address) + " may still carry flows of service " +
             reservation.service->name,
         remedy);
}

void ChangeChecker::Report(Severity severity, const SourceLocation& place,
                           std::string object, std::string problem,
                           std::string remedy) {
  findings_.push_back(Finding{severity, place, std::move(object),
                              std::move(problem), std::move(remedy)});
}

}  // namespace hemlockwick
