#include "Runtime/request_headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

using Json = nlohmann::json;

constexpr int kConflict = 409;
constexpr int kNotFound = 404;

constexpr auto kConnectionHeaders = std::array<std::string_view, 9>{
    "connection", "content-length",    "date",   "expect", "host", "keep-alive",
    "te",         "transfer-encoding", "upgrade"};

constexpr auto kIdempotentMethods = std::array<std::string_view, 6>{
    "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

auto Header(const std::map<std::string, std::string>& headers,
            const std::string& name) -> std::optional<std::string> {
  const auto found = headers.find(name);
  return found == headers.end() ? std::nullopt : std::optional(found->second);
}

auto RemoveConnectionHeaders(std::map<std::string, std::string>& headers)
    -> void {
  for (const auto name : kConnectionHeaders) {
    headers.erase(std::string(name));
  }
}

auto ReadDeadline(const HttpRequest& request, const Contract& contract)
    -> Result<Duration> {
  const auto text = Header(request.headers, kDeadlineHeader);
  if (!text) {
    return contract.default_deadline;
  }
  auto millis = std::uint32_t{0};
  const auto* const end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, millis);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string(kDeadlineHeader) + " is not a whole number",
                "send the time left in milliseconds");
  }
  return std::min<Duration>(std::chrono::milliseconds(millis),
                            contract.max_deadline);
}

auto IsIdempotent(const HttpRequest& request) -> bool {
  const auto header = Header(request.headers, kIdempotentHeader);
  return header ? *header == "true"
                : std::ranges::find(kIdempotentMethods, request.method) !=
                      kIdempotentMethods.end();
}

auto JsonResponse(int status, const Json& body) -> HttpResponse {
  return {status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
}

auto StatusOf(RefusalReason reason) -> int {
  switch (reason) {
    case RefusalReason::kUnknownService:
      return kNotFound;
    case RefusalReason::kInProgress:
      return kConflict;
    case RefusalReason::kOutcomeUnknown:
      return kStatusGatewayTimeout;
    default:
      return kStatusUnavailable;
  }
}

auto OutcomeOf(RefusalReason reason) -> std::string {
  if (IsNotRun(reason)) {
    return "not_run";
  }
  return reason == RefusalReason::kInProgress ? "in_progress" : "unknown";
}

}  // namespace

auto FindServiceByHost(const FleetConfig& config, const HttpRequest& request)
    -> std::shared_ptr<const Service> {
  const auto host = Header(request.headers, "host");
  if (!host) {
    return nullptr;
  }
  const auto address = TryOr([&] { return ParseSocketAddress(*host); },
                             [](const Error&) { return SocketAddress(); });
  const auto by_address = config.by_address.find(address);
  if (by_address != config.by_address.end()) {
    return by_address->second;
  }
  const auto name = host->substr(0, host->find(':'));
  const auto by_name = std::ranges::find_if(
      config.services,
      [&name](const auto& service) { return service->name == name; });
  return by_name == config.services.end() ? nullptr : *by_name;
}

auto ReadArrival(const HttpCall& call, const Service& service, RequestId id,
                 TimePoint now) -> Result<RequestArrival> {
  const auto& request = call.request;
  auto arrival = RequestArrival();
  arrival.request = id;
  arrival.service = service.id;
  const auto caller =
      Header(request.headers, kCallerHeader).value_or(ToString(call.caller.ip));
  arrival.caller = IdFromName<CallerId>(caller);
  arrival.idempotent = IsIdempotent(request);
  if (const auto key = Header(request.headers, kKeyHeader)) {
    arrival.key = IdempotencyKey(HashBytes(*key, service.id.value()));
  }
  arrival.body_bytes = request.body.size();
  arrival.arrived = now;
  BOOST_LEAF_AUTO(left, ReadDeadline(request, service.contract));
  arrival.deadline = now + left;
  return arrival;
}

auto ToEndpointRequest(const HttpRequest& request,
                       const DispatchRequest& dispatch, TimePoint now)
    -> HttpRequest {
  auto result = request;
  RemoveConnectionHeaders(result.headers);
  const auto left = std::max(dispatch.deadline - now, Duration{0});
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(left).count();
  result.headers[kDeadlineHeader] = std::to_string(millis);
  result.headers[kAttemptHeader] = std::to_string(dispatch.attempt);
  result.headers[kRequestIdHeader] = std::to_string(dispatch.request.value());
  result.timeout = left;
  return result;
}

auto ReadOutcome(const HttpResponse& response) -> AttemptOutcome {
  const auto header = Header(response.headers, kOutcomeHeader);
  if (response.status != kStatusUnavailable || !header) {
    return AttemptOutcome::kAnswered;
  }
  if (*header == "not_run") {
    return AttemptOutcome::kShed;
  }
  return *header == "cancelled" ? AttemptOutcome::kCancelled
                                : AttemptOutcome::kAnswered;
}

auto ReadLoad(const HttpResponse& response, EndpointId endpoint, TimePoint now)
    -> std::optional<EndpointLoad> {
  constexpr auto kFormat = std::string_view("JSON ");
  const auto text = Header(response.headers, kLoadHeader);
  if (!text || !text->starts_with(kFormat)) {
    return std::nullopt;
  }
  const auto json = Json::parse(text->substr(kFormat.size()), nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  auto load = EndpointLoad();
  load.endpoint = endpoint;
  load.measured = now;
  const auto utilization = json.find("application_utilization");
  if (utilization != json.end() && utilization->is_number()) {
    load.utilization = std::max(utilization->get<double>(), 0.0);
  }
  const auto queued =
      json.value(Json::json_pointer("/named_metrics/queued"), Json(0));
  if (queued.is_number_unsigned()) {
    load.queued = queued.get<std::uint32_t>();
  }
  return load;
}

auto ToCallerResponse(HttpResponse response) -> HttpResponse {
  RemoveConnectionHeaders(response.headers);
  return response;
}

auto RefusalResponse(RefusalReason reason, Duration retry_after)
    -> HttpResponse {
  auto response = JsonResponse(StatusOf(reason),
                               {{"outcome", OutcomeOf(reason)},
                                {"reason", std::string(ToString(reason))}});
  if (IsNotRun(reason)) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(retry_after);
    response.headers["Retry-After"] =
        std::to_string(std::max<std::int64_t>(seconds.count(), 1));
  }
  return response;
}

auto NotRunResponse(int status, const std::string& reason) -> HttpResponse {
  return JsonResponse(status, {{"outcome", "not_run"}, {"reason", reason}});
}

}  // namespace hemlockwick
