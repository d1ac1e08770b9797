#include "Edge/http_connection.h"

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <utility>

#include "Runtime/log.h"

namespace hemlockwick {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr std::uint64_t kMaxBodyBytes = 16ULL * 1024 * 1024;

// TCP_USER_TIMEOUT: the kernel closes a connection whose data has been
// unacknowledged for this long.
constexpr int kUserTimeoutMillis = 2000;

}  // namespace

// One TCP connection. Shared with its pending operations, which end by
// themselves once the connection is closed.
class HttpConnection::Session
    : public std::enable_shared_from_this<HttpConnection::Session> {
 public:
  Session(asio::io_context& context, const SocketAddress& address,
          std::string header)
      : stream_(context),
        endpoint_(asio::ip::address_v4(address.ip.value()),
                  address.port.value()),
        host_(ToString(address)),
        header_(std::move(header)) {}

  // Whether the next call may use this connection. Closes it when unexpected
  // bytes have arrived, for example a duplicate of an answer: they would be
  // taken for the answer to the next call.
  [[nodiscard]] auto IsUsable() -> bool {
    auto error = beast::error_code();
    if (is_open_ && stream_.socket().available(error) > 0) {
      CloseOnUnexpectedData();
    }
    return is_open_;
  }

  void Get(const std::string& target, Duration timeout, OnAnswer on_answer) {
    on_answer_ = std::move(on_answer);
    request_ =
        http::request<http::empty_body>(http::verb::get, target, kHttp11);
    request_.set(http::field::host, host_);
    stream_.expires_after(timeout);
    if (is_open_) {
      Write();
    } else {
      Connect();
    }
  }

  // Drops the answer of the call in progress and closes the connection.
  void Cancel() {
    on_answer_ = nullptr;
    Close();
  }

 private:
  void Connect() {
    stream_.async_connect(
        endpoint_, [self = shared_from_this()](const beast::error_code& error) {
          if (error) {
            self->Fail("connect", error);
            return;
          }
          self->is_open_ = true;
          self->SetOptions();
          self->Write();
        });
  }

  void SetOptions() {
    auto ignored = beast::error_code();
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    using UserTimeout =
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    stream_.socket().set_option(UserTimeout(kUserTimeoutMillis), ignored);
  }

  void Write() {
    http::async_write(stream_, request_,
                      [self = shared_from_this()](
                          const beast::error_code& error, std::size_t) {
                        if (error) {
                          self->Fail("send", error);
                        } else {
                          self->Read();
                        }
                      });
  }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    http::async_read(stream_, buffer_, *parser_,
                     [self = shared_from_this()](const beast::error_code& error,
                                                 std::size_t) {
                       if (error) {
                         self->Fail("receive", error);
                       } else {
                         self->Succeed();
                       }
                     });
  }

  void Succeed() {
    auto response = parser_->release();
    if (!response.keep_alive()) {
      Close();
    } else if (buffer_.size() > 0) {
      CloseOnUnexpectedData();
    }
    Answer({static_cast<int>(response.result_int()),
            std::move(response.body()),
            {},
            header_.empty() ? std::string() : std::string(response[header_])});
  }

  void Fail(const char* step, const beast::error_code& error) {
    Close();
    Answer({0, {}, std::string(step) + ": " + error.message(), {}});
  }

  void CloseOnUnexpectedData() {
    Log(LogLevel::kWarning, "connection_closed",
        {{"peer", host_}, {"reason", "unexpected bytes received"}});
    Close();
  }

  void Close() {
    is_open_ = false;
    auto ignored = beast::error_code();
    stream_.socket().close(ignored);
    buffer_.clear();
  }

  void Answer(HttpAnswer answer) {
    if (on_answer_) {
      std::exchange(on_answer_, nullptr)(std::move(answer));
    }
  }

  beast::tcp_stream stream_;
  const asio::ip::tcp::endpoint endpoint_;
  const std::string host_;
  const std::string header_;
  bool is_open_ = false;
  beast::flat_buffer buffer_;
  http::request<http::empty_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  OnAnswer on_answer_;
};

HttpConnection::HttpConnection(asio::io_context& context,
                               const SocketAddress& address, std::string header)
    : context_(context), address_(address), header_(std::move(header)) {}

HttpConnection::~HttpConnection() {
  if (session_ != nullptr) {
    session_->Cancel();
  }
}

void HttpConnection::Get(const std::string& target, Duration timeout,
                         OnAnswer on_answer) {
  if (session_ == nullptr || !session_->IsUsable()) {
    session_ = std::make_shared<Session>(context_, address_, header_);
  }
  session_->Get(target, timeout, std::move(on_answer));
}

}  // namespace hemlockwick
