#ifndef HEMLOCKWICK_EDGE_HTTP_CONNECTION_H_
#define HEMLOCKWICK_EDGE_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "Core/net_address.h"
#include "Core/time.h"

namespace hemlockwick {

// Outcome of one call. The status is 0 when no complete answer was received.
struct HttpAnswer {
  int status = 0;
  std::string body;
  std::string error;   // The reason when the status is 0.
  std::string header;  // Value of the header to read; empty when there is none.
};

// A persistent HTTP client connection. One call at a time; all functions run on
// the thread of the I/O context.
class HttpConnection {
 public:
  using OnAnswer = std::function<void(HttpAnswer)>;

  // Each answer has the value of `header`, when that is the name of one.
  HttpConnection(boost::asio::io_context& context, const SocketAddress& address,
                 std::string header = {});
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  auto operator=(const HttpConnection&) -> HttpConnection& = delete;

  // Requests `target`, a path with its query. Connects if necessary; a call
  // that fails closes the connection. `timeout` covers the whole call.
  void Get(const std::string& target, Duration timeout, OnAnswer on_answer);

 private:
  class Session;

  boost::asio::io_context& context_;
  const SocketAddress address_;
  const std::string header_;
  std::shared_ptr<Session> session_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_HTTP_CONNECTION_H_
