#ifndef HEMLOCKWICK_RUNTIME_REQUEST_HEADERS_H_
#define HEMLOCKWICK_RUNTIME_REQUEST_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Config/fleet_config.h"
#include "Core/error.h"
#include "Request/request_types.h"
#include "Runtime/http_client.h"
#include "Runtime/http_server.h"

// HTTP headers and answers of the request plane, as docs/help/serve.md lists
// them. Names are in lower case.

namespace hemlockwick {

// Caller to instance, instance to endpoint: time left, in milliseconds.
inline constexpr const char* kDeadlineHeader = "x-request-deadline-ms";
inline constexpr const char* kKeyHeader = "idempotency-key";
// Caller to instance: names the caller for fairness; default is its address.
inline constexpr const char* kCallerHeader = "x-caller";
// Caller to instance: "true" when running the request twice does no harm.
inline constexpr const char* kIdempotentHeader = "x-idempotent";
// Instance to endpoint: number of the attempt, from 1, and the request's id.
inline constexpr const char* kAttemptHeader = "x-request-attempt";
inline constexpr const char* kRequestIdHeader = "x-request-id";
// Endpoint to instance: "not_run" on a 503 says that the request was not run,
// "cancelled" that it was cancelled before it ran.
inline constexpr const char* kOutcomeHeader = "x-outcome";
// Endpoint to instance: an ORCA load report as "JSON {...}".
inline constexpr const char* kLoadHeader = "endpoint-load-metrics";
// Path at an endpoint to which a cancellation is posted, with the request id.
inline constexpr const char* kCancelPath = "/cancel-request";

inline constexpr int kStatusUnavailable = 503;
inline constexpr int kStatusGatewayTimeout = 504;

// Finds the service that the Host header names, by its address or its name;
// null when it names none.
[[nodiscard]] auto FindServiceByHost(const FleetConfig& config,
                                     const HttpRequest& request)
    -> std::shared_ptr<const Service>;

// Reads the headers of a request to `service`. Fails with kInvalidArgument
// when a header is malformed.
[[nodiscard]] auto ReadArrival(const HttpCall& call, const Service& service,
                               RequestId id, TimePoint now)
    -> Result<RequestArrival>;

// The request as it is sent to an endpoint.
[[nodiscard]] auto ToEndpointRequest(const HttpRequest& request,
                                     const DispatchRequest& dispatch,
                                     TimePoint now) -> HttpRequest;

// What an endpoint's whole answer says about the attempt.
[[nodiscard]] auto ReadOutcome(const HttpResponse& response) -> AttemptOutcome;
[[nodiscard]] auto ReadLoad(const HttpResponse& response, EndpointId endpoint,
                            TimePoint now) -> std::optional<EndpointLoad>;

// The endpoint's answer without headers that belong to one connection.
[[nodiscard]] auto ToCallerResponse(HttpResponse response) -> HttpResponse;

// The caller's answer to a request that got no endpoint's answer.
[[nodiscard]] auto RefusalResponse(RefusalReason reason, Duration retry_after)
    -> HttpResponse;

// The caller's answer to a request that is not even considered; `status` is
// the HTTP status and the request was not run.
[[nodiscard]] auto NotRunResponse(int status, const std::string& reason)
    -> HttpResponse;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_REQUEST_HEADERS_H_
