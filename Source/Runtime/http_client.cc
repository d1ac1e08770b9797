#include "Runtime/http_client.h"

#include <ulfius.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "Runtime/ulfius_headers.h"
#include "Runtime/ulfius_init.h"

namespace hemlockwick {

namespace {

using UlfiusRequest =
    std::unique_ptr<_u_request, decltype(&ulfius_clean_request_full)>;
using UlfiusResponse =
    std::unique_ptr<_u_response, decltype(&ulfius_clean_response_full)>;

auto NewRequest() -> UlfiusRequest {
  auto* const request =
      static_cast<_u_request*>(o_malloc(sizeof(struct _u_request)));
  ulfius_init_request(request);
  return {request, &ulfius_clean_request_full};
}

auto NewResponse() -> UlfiusResponse {
  auto* const response =
      static_cast<_u_response*>(o_malloc(sizeof(struct _u_response)));
  ulfius_init_response(response);
  return {response, &ulfius_clean_response_full};
}

// Ulfius takes timeouts in whole seconds; 0 means no timeout.
auto WholeSeconds(Duration timeout)
    -> unsigned long {  // NOLINT(google-runtime-int)
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(timeout);
  return std::max<std::int64_t>(seconds.count(), 1);
}

void Fill(_u_request& target, const SocketAddress& address,
          const HttpRequest& request) {
  const auto url = "http://" + ToString(address) + request.path;
  ulfius_set_request_properties(
      &target, U_OPT_HTTP_VERB, request.method.c_str(), U_OPT_HTTP_URL,
      url.c_str(), U_OPT_TIMEOUT, WholeSeconds(request.timeout), U_OPT_NONE);
  for (const auto& [name, value] : request.headers) {
    u_map_put(target.map_header, name.c_str(), value.c_str());
  }
  // Without this, libcurl delays a large body until it receives "100 Continue".
  u_map_put(target.map_header, "Expect", "");
  if (!request.body.empty()) {
    ulfius_set_binary_body_request(&target, request.body.data(),
                                   request.body.size());
  }
}

auto Read(const _u_response& source) -> HttpResponse {
  auto response = HttpResponse();
  response.status = static_cast<int>(source.status);
  response.headers = ReadHeaders(*source.map_header);
  if (source.binary_body_length > 0) {
    response.body.assign(static_cast<const char*>(source.binary_body),
                         source.binary_body_length);
  }
  return response;
}

}  // namespace

auto SendHttp(const SocketAddress& address, const HttpRequest& request)
    -> Result<HttpResponse> {
  InitUlfiusOnce();
  const auto source = NewRequest();
  const auto answer = NewResponse();
  Fill(*source, address, request);
  if (ulfius_send_http_request(source.get(), answer.get()) != U_OK) {
    return Fail(ErrorCode::kUnavailable,
                "no complete response from " + ToString(address),
                "check that the process at this address is running");
  }
  return Read(*answer);
}

}  // namespace hemlockwick
