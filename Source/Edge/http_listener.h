#ifndef HEMLOCKWICK_EDGE_HTTP_LISTENER_H_
#define HEMLOCKWICK_EDGE_HTTP_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Runtime/file_descriptor.h"

namespace hemlockwick {

struct HttpReply {
  int status = 200;
  std::string content_type = "text/plain";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers{};  // Further ones.
};

// HTTP server for GET requests with short answers, on one address. Runs on the
// thread of the I/O context.
class HttpListener {
 public:
  // Sends the answer to one request. Must be called exactly once, on the thread
  // of the I/O context.
  using Reply = std::function<void(HttpReply)>;

  // Called with the path and query of a request. May reply later.
  using Handler = std::function<void(const std::string& target, Reply reply)>;

  // Takes ownership of a socket of ListenTcp.
  HttpListener(boost::asio::io_context& context, FileDescriptor socket,
               Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  auto operator=(const HttpListener&) -> HttpListener& = delete;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HTTP_LISTENER_H_
