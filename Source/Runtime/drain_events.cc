#include "Runtime/drain_events.h"

#include <set>
#include <string>

namespace hemlockwick {

namespace {

auto DrainingEndpoints(const Service* service) -> std::set<std::string> {
  auto names = std::set<std::string>();
  if (service == nullptr) {
    return names;
  }
  for (const auto& endpoint : service->endpoints) {
    if (endpoint.state == EndpointState::kDraining) {
      names.insert(endpoint.name);
    }
  }
  return names;
}

// Records an event of `kind` for each name in `names` that is not in `others`.
void RecordDifference(const std::set<std::string>& names,
                      const std::set<std::string>& others, EventKind kind,
                      const std::string& service, EventLog& events,
                      TimePoint now) {
  for (const auto& name : names) {
    if (!others.contains(name)) {
      events.Record(kind, name, "of service " + service, now);
    }
  }
}

void RecordDrains(const Service* previous, const Service* next,
                  EventLog& events, TimePoint now) {
  const auto before = DrainingEndpoints(previous);
  const auto after = DrainingEndpoints(next);
  const auto& name = next == nullptr ? previous->name : next->name;
  RecordDifference(after, before, EventKind::kEndpointDrainBegun, name, events,
                   now);
  RecordDifference(before, after, EventKind::kEndpointDrainEnded, name, events,
                   now);
}

}  // namespace

void RecordDrains(const FleetConfig* previous, const FleetConfig& next,
                  EventLog& events, TimePoint now) {
  for (const auto& service : next.services) {
    const auto* const before =
        previous == nullptr ? nullptr : FindService(*previous, service->id);
    // Successive versions share the services that did not change.
    if (before != service.get()) {
      RecordDrains(before, service.get(), events, now);
    }
  }
  if (previous == nullptr) {
    return;
  }
  for (const auto& service : previous->services) {
    if (FindService(next, service->id) == nullptr) {
      RecordDrains(service.get(), nullptr, events, now);
    }
  }
}

}  // namespace hemlockwick
