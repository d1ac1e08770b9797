#ifndef HEMLOCKWICK_RUNTIME_DRAIN_EVENTS_H_
#define HEMLOCKWICK_RUNTIME_DRAIN_EVENTS_H_

#include "Config/fleet_config.h"
#include "Core/time.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Records an event for each endpoint whose drain begins or ends when `next`
// replaces `previous`, which is null for the first version. A drain ends when
// the endpoint is active again or no longer published. Records one event for
// each data centre that is evacuated or returned to service, and none for its
// endpoints: they could drive all other events from the log.
void RecordDrains(const FleetConfig* previous, const FleetConfig& next,
                  EventLog& events, TimePoint now);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_DRAIN_EVENTS_H_
