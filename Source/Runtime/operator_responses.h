#ifndef HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_
#define HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_

#include <string>

#include "Runtime/control_loop.h"
#include "Runtime/http_client.h"
#include "Timeline/event_log.h"

// Responses to the HTTP requests of operators.

namespace hemlockwick {

// GET /readyz: 200 while a configuration is in force and no stop has begun,
// otherwise 503.
[[nodiscard]] auto ReadyResponse(const ControlView& view) -> HttpResponse;

// GET /members: all members with name, state, HTTP address and incarnation.
[[nodiscard]] auto MembersResponse(const ControlView& view) -> HttpResponse;

// GET /events?after=MILLIS.COUNTER: the retained events later than the stamp,
// one JSON object per line.
[[nodiscard]] auto EventsResponse(const EventLog& events,
                                  const std::string& path) -> HttpResponse;

[[nodiscard]] auto JsonResponse(std::string text) -> HttpResponse;
[[nodiscard]] auto TextResponse(int status, std::string text) -> HttpResponse;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_OPERATOR_RESPONSES_H_
