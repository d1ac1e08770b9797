#ifndef HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_
#define HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_

#include <string>

#include "Runtime/control_loop.h"
#include "Runtime/http_client.h"
#include "Timeline/event_log.h"

// What an instance tells operators over HTTP.

namespace hemlockwick {

// GET /readyz: 200 while a configuration is in force and no stop has begun.
[[nodiscard]] auto ReadyResponse(const ControlView& view) -> HttpResponse;

// GET /members: every member by name, with its state and addresses.
[[nodiscard]] auto MembersResponse(const ControlView& view) -> HttpResponse;

// GET /events?after=MILLIS.COUNTER: the kept events later than the stamp, one
// JSON object a line.
[[nodiscard]] auto EventsResponse(const EventLog& events,
                                  const std::string& path) -> HttpResponse;

[[nodiscard]] auto JsonResponse(std::string text) -> HttpResponse;
[[nodiscard]] auto TextResponse(int status, std::string text) -> HttpResponse;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_
