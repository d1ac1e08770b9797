#include "Runtime/drain_events.h"

#include <map>
#include <set>
#include <string>

namespace hemlockwick {

namespace {

// Version since which each evacuated data centre is evacuated, by its name.
using Evacuations = std::map<std::string, Version>;

auto EvacuationsIn(const FleetConfig* config) -> Evacuations {
  auto evacuations = Evacuations();
  if (config == nullptr) {
    return evacuations;
  }
  for (const auto& data_centre : config->data_centres) {
    if (IsEvacuated(data_centre)) {
      evacuations.emplace(data_centre.name, data_centre.evacuated_since);
    }
  }
  return evacuations;
}

void RecordEvacuations(const Evacuations& before, const Evacuations& after,
                       Version version, EventLog& events, TimePoint now) {
  for (const auto& [name, since] : after) {
    const auto found = before.find(name);
    if (found == before.end() || found->second != since) {
      events.Record(EventKind::kDataCentreEvacuated, name,
                    "since version " + std::to_string(since.value()), now);
    }
  }
  for (const auto& [name, since] : before) {
    if (!after.contains(name)) {
      events.Record(EventKind::kDataCentreTakenBack, name,
                    "by version " + std::to_string(version.value()), now);
    }
  }
}

using DataCentres = std::set<DataCentreId>;

// Draining endpoints outside the data centres `without`.
auto DrainingEndpoints(const Service* service, const DataCentres& without)
    -> std::set<std::string> {
  auto names = std::set<std::string>();
  if (service == nullptr) {
    return names;
  }
  for (const auto& endpoint : service->endpoints) {
    if (endpoint.state == EndpointState::kDraining &&
        !without.contains(endpoint.data_centre)) {
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
                  const DataCentres& without, EventLog& events, TimePoint now) {
  const auto before = DrainingEndpoints(previous, without);
  const auto after = DrainingEndpoints(next, without);
  const auto& name = next == nullptr ? previous->name : next->name;
  RecordDifference(after, before, EventKind::kEndpointDrainBegun, name, events,
                   now);
  RecordDifference(before, after, EventKind::kEndpointDrainEnded, name, events,
                   now);
}

}  // namespace

void RecordDrains(const FleetConfig* previous, const FleetConfig& next,
                  EventLog& events, TimePoint now) {
  const auto evacuated_before = EvacuationsIn(previous);
  const auto evacuated = EvacuationsIn(&next);
  RecordEvacuations(evacuated_before, evacuated, next.version, events, now);
  auto without = DataCentres();
  for (const auto& evacuations : {evacuated_before, evacuated}) {
    for (const auto& [name, since] : evacuations) {
      without.insert(IdFromName<DataCentreId>(name));
    }
  }
  for (const auto& service : next.services) {
    const auto* const before =
        previous == nullptr ? nullptr : FindService(*previous, service->id);
    // Successive versions share the services that did not change.
    if (before != service.get()) {
      RecordDrains(before, service.get(), without, events, now);
    }
  }
  if (previous == nullptr) {
    return;
  }
  for (const auto& service : previous->services) {
    if (FindService(next, service->id) == nullptr) {
      RecordDrains(service.get(), nullptr, without, events, now);
    }
  }
}

}  // namespace hemlockwick
