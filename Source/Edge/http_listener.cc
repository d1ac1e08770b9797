#include "Edge/http_listener.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace hemlockwick {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// An idle connection is closed after this time.
constexpr auto kIdleTimeout = std::chrono::seconds(30);

// Maximum number of open connections; further ones are closed.
constexpr std::size_t kMaxConnections = 512;

// Delay after a failed accept, for example for lack of file descriptors.
constexpr auto kAcceptRetry = std::chrono::milliseconds(100);

using Handler = HttpListener::Handler;

// One client's connection. Kept alive by its pending operations.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(asio::ip::tcp::socket socket,
             std::shared_ptr<const Handler> handler,
             std::shared_ptr<std::size_t> count)
      : stream_(std::move(socket)),
        handler_(std::move(handler)),
        count_(std::move(count)) {
    ++*count_;
  }
  ~Connection() { --*count_; }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  void Read() {
    request_ = {};
    stream_.expires_after(kIdleTimeout);
    http::async_read(stream_, buffer_, request_,
                     [self = shared_from_this()](const beast::error_code& error,
                                                 std::size_t) {
                       if (!error) {
                         self->Handle();
                       }
                     });
  }

 private:
  void Handle() {
    if (request_.method() != http::verb::get) {
      Write({405, "text/plain", "only GET\n"});
      return;
    }
    stream_.expires_never();
    (*handler_)(std::string(request_.target()),
                [self = shared_from_this()](HttpReply reply) {
                  self->Write(std::move(reply));
                });
  }

  void Write(HttpReply reply) {
    response_ = {};
    response_.version(request_.version());
    response_.result(static_cast<unsigned>(reply.status));
    response_.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.headers) {
      response_.set(name, value);
    }
    response_.keep_alive(request_.keep_alive());
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    stream_.expires_after(kIdleTimeout);
    http::async_write(stream_, response_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        if (!error && self->response_.keep_alive()) {
                          self->Read();
                        }
                      });
  }

  beast::tcp_stream stream_;
  const std::shared_ptr<const Handler> handler_;
  const std::shared_ptr<std::size_t> count_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response<http::string_body> response_;
};

}  // namespace

class HttpListener::Impl
    : public std::enable_shared_from_this<HttpListener::Impl> {
 public:
  Impl(asio::io_context& context, FileDescriptor socket, Handler handler)
      : acceptor_(context, asio::ip::tcp::v4(), socket.Release()),
        retry_timer_(context),
        handler_(std::make_shared<const Handler>(std::move(handler))) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](const beast::error_code& error,
                                    asio::ip::tcp::socket socket) {
          if (self->is_closed_) {
            return;
          }
          if (error) {
            self->AcceptLater();
            return;
          }
          if (*self->count_ < kMaxConnections) {
            std::make_shared<Connection>(std::move(socket), self->handler_,
                                         self->count_)
                ->Read();
          }
          self->Accept();
        });
  }

  void Close() {
    is_closed_ = true;
    auto ignored = beast::error_code();
    acceptor_.close(ignored);
    retry_timer_.cancel();
  }

 private:
  void AcceptLater() {
    retry_timer_.expires_after(kAcceptRetry);
    retry_timer_.async_wait(
        [self = shared_from_this()](const beast::error_code& error) {
          if (!error && !self->is_closed_) {
            self->Accept();
          }
        });
  }

  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  const std::shared_ptr<const Handler> handler_;
  const std::shared_ptr<std::size_t> count_ = std::make_shared<std::size_t>(0);
  bool is_closed_ = false;
};

HttpListener::HttpListener(asio::io_context& context, FileDescriptor socket,
                           Handler handler)
    : impl_(std::make_shared<Impl>(context, std::move(socket),
                                   std::move(handler))) {
  impl_->Accept();
}

HttpListener::~HttpListener() { impl_->Close(); }

}  // namespace hemlockwick
