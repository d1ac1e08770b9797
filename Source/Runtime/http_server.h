#ifndef HEMLOCKWICK_RUNTIME_HTTP_SERVER_H_
#define HEMLOCKWICK_RUNTIME_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Runtime/file_descriptor.h"
#include "Runtime/http_client.h"

namespace hemlockwick {

// A request as passed to a handler.
struct HttpCall {
  HttpRequest request;  // Header names in lower case.
  SocketAddress caller;
  // Whether the caller has closed its connection.
  std::function<bool()> caller_gone;
};

// Called on the thread of the connection; may block.
using HttpHandler = std::function<HttpResponse(const HttpCall&)>;

struct HttpServerSettings {
  std::size_t max_body_bytes = 32ULL * 1024 * 1024;
  std::size_t max_connections = 2000;
};

// An HTTP/1.1 server based on ulfius, with one thread per connection. Requests
// with a body above the limit are answered 413 without calling the handler.
class HttpServer {
 public:
  // Takes ownership of a socket from ListenTcp and serves until destroyed.
  // Fails with kInternal.
  [[nodiscard]] static auto Start(FileDescriptor listener,
                                  const HttpServerSettings& settings,
                                  HttpHandler handler)
      -> Result<std::unique_ptr<HttpServer>>;

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  [[nodiscard]] auto address() const -> SocketAddress;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_HTTP_SERVER_H_
