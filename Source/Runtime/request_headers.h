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

// HTTP headers and responses of the request plane, as documented in
// docs/help/serve.md. Header names are in lower case.

namespace hemlockwick {

// Caller to instance, instance to endpoint: time left until the deadline, in
// milliseconds.
inline constexpr const char* kDeadlineHeader = "x-request-deadline-ms";
inline constexpr const char* kKeyHeader = "idempotency-key";
// Caller to instance: identifies the caller for fair sharing. The default is
// the caller's IP address.
inline constexpr const char* kCallerHeader = "x-caller";
// Caller to instance: "true" if the request is idempotent. The default depends
// on the HTTP method.
inline constexpr const char* kIdempotentHeader = "x-idempotent";
// Instance to endpoint: number of the attempt, from 1, and the request's id.
inline constexpr const char* kAttemptHeader = "x-request-attempt";
inline constexpr const char* kRequestIdHeader = "x-request-id";
// Endpoint to instance, with status 503: "not_run" means that the request was
// not run, "cancelled" that it was cancelled before it ran.
inline constexpr const char* kOutcomeHeader = "x-outcome";
// Endpoint to instance: a load report in the ORCA (Open Request Cost
// Aggregation) format "JSON {...}".
inline constexpr const char* kLoadHeader = "endpoint-load-metrics";
// Path at an endpoint that cancellations are posted to, with the request id
// header.
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

// Returns the request to be sent to an endpoint.
[[nodiscard]] auto ToEndpointRequest(const HttpRequest& request,
                                     const DispatchRequest& dispatch,
                                     TimePoint now) -> HttpRequest;

// Returns the outcome of an attempt that got a complete response.
[[nodiscard]] auto ReadOutcome(const HttpResponse& response) -> AttemptOutcome;
[[nodiscard]] auto ReadLoad(const HttpResponse& response, EndpointId endpoint,
                            TimePoint now) -> std::optional<EndpointLoad>;

// Returns the endpoint's response without hop-by-hop headers.
[[nodiscard]] auto ToCallerResponse(HttpResponse response) -> HttpResponse;

// Returns the response to a request that got no response from an endpoint.
[[nodiscard]] auto RefusalResponse(RefusalReason reason, Duration retry_after)
    -> HttpResponse;

// Returns the response, with HTTP status `status` and outcome "not_run", to a
// request that the request plane rejects or never receives.
[[nodiscard]] auto NotRunResponse(int status, const std::string& reason)
    -> HttpResponse;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_REQUEST_HEADERS_H_
