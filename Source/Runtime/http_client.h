#ifndef HEMLOCKWICK_RUNTIME_HTTP_CLIENT_H_
#define HEMLOCKWICK_RUNTIME_HTTP_CLIENT_H_

#include <map>
#include <string>
#include <string_view>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

struct HttpRequest {
  std::string method = "GET";
  std::string path = "/";  // With the query, if any.
  std::map<std::string, std::string> headers;
  std::string body;
  Duration timeout = std::chrono::seconds(5);
};

struct HttpResponse {
  int status = 0;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

// Sends one request and waits for the complete response. Fails with
// kUnavailable if the connection fails, the response is truncated or the
// timeout expires.
[[nodiscard]] auto SendHttp(const SocketAddress& address,
                            const HttpRequest& request) -> Result<HttpResponse>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_HTTP_CLIENT_H_
