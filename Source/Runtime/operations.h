#ifndef HEMLOCKWICK_RUNTIME_OPERATIONS_H_
#define HEMLOCKWICK_RUNTIME_OPERATIONS_H_

#include <string>

#include "Runtime/control_loop.h"
#include "Runtime/http_client.h"
#include "Runtime/settings.h"
#include "Timeline/event_log.h"

// What an instance tells operators over HTTP.

namespace hemlockwick {

// GET /readyz: 200 while a configuration is in force and no stop has begun.
[[nodiscard]] auto ReadyResponse(const ControlView& view) -> HttpResponse;

// GET /status: the version in force, the members and the last refusal.
[[nodiscard]] auto StatusResponse(const ServeSettings& settings,
                                  const ControlView& view) -> HttpResponse;

// GET /events?after=MILLIS.COUNTER: the kept events later than the stamp.
[[nodiscard]] auto EventsResponse(const EventLog& events,
                                  const std::string& path) -> HttpResponse;

[[nodiscard]] auto TextResponse(int status, std::string text) -> HttpResponse;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_OPERATIONS_H_
