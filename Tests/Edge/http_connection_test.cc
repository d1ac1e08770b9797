// Tests the client connection with a loopback server that sends each answer
// twice. The second copy must not be taken for the answer to the next call.
#include "Edge/http_connection.h"

#include <criterion/criterion.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hemlockwick {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kTimeout = std::chrono::seconds(2);

// Answers each request with its path, and once more after `delay`.
class RepeatingServer {
 public:
  RepeatingServer(asio::io_context& context, Duration delay)
      : context_(context),
        acceptor_(context, {asio::ip::address_v4::loopback(), 0}),
        delay_(delay) {
    Accept();
  }

  auto address() const -> SocketAddress {
    return {Ipv4Address(0x7F000001), Port(acceptor_.local_endpoint().port())};
  }
  auto connections() const -> int { return connections_; }

 private:
  struct Peer {
    explicit Peer(Tcp::socket taken) : socket(std::move(taken)) {}
    Tcp::socket socket;
    asio::streambuf buffer;
    std::string answer;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, Tcp::socket socket) {
          if (!error) {
            ++connections_;
            Read(std::make_shared<Peer>(std::move(socket)));
            Accept();
          }
        });
  }

  void Read(const std::shared_ptr<Peer>& peer) {
    asio::async_read_until(
        peer->socket, peer->buffer, "\r\n\r\n",
        [this, peer](const boost::system::error_code& error, std::size_t size) {
          if (!error) {
            Answer(peer, size);
          }
        });
  }

  void Answer(const std::shared_ptr<Peer>& peer, std::size_t size) {
    auto method = std::string();
    auto path = std::string();
    std::istream(&peer->buffer) >> method >> path;
    peer->buffer.consume(peer->buffer.size() > size ? size
                                                    : peer->buffer.size());
    peer->answer =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size()) +
        "\r\n\r\n" + path;
    auto ignored = boost::system::error_code();
    asio::write(peer->socket, asio::buffer(peer->answer), ignored);
    auto timer = std::make_shared<asio::steady_timer>(context_, delay_);
    timer->async_wait([peer, timer](const boost::system::error_code&) {
      auto closed = boost::system::error_code();
      asio::write(peer->socket, asio::buffer(peer->answer), closed);
    });
    Read(peer);
  }

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  const Duration delay_;
  int connections_ = 0;
};

// Makes the calls one after the other, with a pause between them. Returns the
// bodies of the answers.
auto Bodies(asio::io_context& context, HttpConnection& connection,
            const std::vector<std::string>& targets)
    -> std::vector<std::string> {
  constexpr auto kPause = 60 * kMillisecond;
  auto bodies = std::vector<std::string>();
  for (const auto& target : targets) {
    auto body = std::optional<std::string>();
    connection.Get(target, kTimeout,
                   [&body](const HttpAnswer& answer) { body = answer.body; });
    while (!body) {
      context.run_one();
    }
    bodies.push_back(*body);
    context.run_for(kPause);
  }
  return bodies;
}

// The second copy arrives on a connection that is used for the next call.
Test(http_connection, copy_of_an_answer_does_not_reach_the_next_call) {
  auto context = asio::io_context();
  auto server = RepeatingServer(context, Duration(0));
  auto connection = HttpConnection(context, server.address());
  const auto targets = std::vector<std::string>{"/a", "/b", "/c"};
  cr_assert(Bodies(context, connection, targets) == targets);
}

Test(http_connection, late_copy_of_an_answer_does_not_reach_the_next_call) {
  auto context = asio::io_context();
  auto server = RepeatingServer(context, 20 * kMillisecond);
  auto connection = HttpConnection(context, server.address());
  const auto targets = std::vector<std::string>{"/a", "/b", "/c"};
  cr_assert(Bodies(context, connection, targets) == targets);
}

Test(http_connection, stays_open_between_calls_that_are_answered_once) {
  auto context = asio::io_context();
  auto server = RepeatingServer(context, std::chrono::hours(1));
  auto connection = HttpConnection(context, server.address());
  Bodies(context, connection, {"/a", "/b", "/c"});
  cr_assert_eq(server.connections(), 1);
}

}  // namespace
}  // namespace hemlockwick
