#include "Soak/fault_proxy.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace hemlockwick::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// How often silenced bytes are looked at again.
constexpr auto kRetry = std::chrono::milliseconds(20);

auto ToEndpoint(const SocketAddress& address) -> tcp::endpoint {
  return {asio::ip::address_v4(address.ip.value()), address.port.value()};
}

void Abort(tcp::socket& socket) {
  auto ignored = error_code();
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

// A connection and the one behind it.
class FaultProxy::Pair : public std::enable_shared_from_this<Pair> {
 public:
  Pair(tcp::socket near, std::shared_ptr<const State> state)
      : near_(std::move(near)),
        far_(near_.get_executor()),
        state_(std::move(state)) {}

  void Start(const tcp::endpoint& remote) {
    far_.async_connect(remote,
                       [self = shared_from_this()](const error_code& error) {
                         if (error) {
                           self->Reset();
                           return;
                         }
                         self->requests_.Read(self);
                         self->answers_.Read(self);
                       });
  }

  void Reset() {
    Abort(near_);
    Abort(far_);
  }

  void Silence() { is_silent_ = true; }

 private:
  // Bytes of one direction.
  struct Way {
    Way(Pair& pair, bool answers)
        : from(answers ? pair.far_ : pair.near_),
          to(answers ? pair.near_ : pair.far_),
          timer(pair.near_.get_executor()),
          is_answers(answers) {}

    void Read(const std::shared_ptr<Pair>& pair) {
      from.async_read_some(
          asio::buffer(bytes),
          [this, pair](const error_code& error, std::size_t count) {
            if (error) {
              Close(pair);
            } else {
              size = count;
              Hold(pair, pair->state_->delay);
            }
          });
    }

    // Waits as long as the fault says, and passes the bytes on.
    void Hold(const std::shared_ptr<Pair>& pair,
              std::chrono::milliseconds time) {
      timer.expires_after(time);
      timer.async_wait([this, pair](const error_code&) {
        if (Blocks(*pair)) {
          Hold(pair, kRetry);
        } else {
          Write(pair);
        }
      });
    }

    void Write(const std::shared_ptr<Pair>& pair) {
      asio::async_write(to, asio::buffer(bytes, size),
                        [this, pair](const error_code& error, std::size_t) {
                          if (error) {
                            pair->Reset();
                          } else {
                            Read(pair);
                          }
                        });
    }

    // Passes the end of the connection on, unless the fault hides it.
    void Close(const std::shared_ptr<Pair>& pair) {
      if (!Blocks(*pair)) {
        pair->Reset();
      }
    }

    [[nodiscard]] auto Blocks(const Pair& pair) const -> bool {
      const auto fault = pair.state_->fault;
      return pair.is_silent_ || fault == LinkFault::kSilence ||
             (fault == LinkFault::kNoAnswers && is_answers);
    }

    tcp::socket& from;
    tcp::socket& to;
    asio::steady_timer timer;
    const bool is_answers;
    std::array<char, 16384> bytes{};
    std::size_t size = 0;
  };

  tcp::socket near_;
  tcp::socket far_;
  const std::shared_ptr<const State> state_;
  bool is_silent_ = false;
  Way requests_{*this, false};
  Way answers_{*this, true};
};

FaultProxy::FaultProxy(asio::io_context& context, const SocketAddress& local,
                       const SocketAddress& remote)
    : acceptor_(context, ToEndpoint(local)), remote_(ToEndpoint(remote)) {
  Accept();
}

FaultProxy::~FaultProxy() { Set(LinkFault::kReset); }

void FaultProxy::Set(LinkFault fault, std::chrono::milliseconds delay) {
  state_->fault = fault;
  state_->delay = delay;
  if (fault != LinkFault::kReset) {
    return;
  }
  for (const auto& pair : std::exchange(pairs_, {})) {
    if (const auto open = pair.lock()) {
      open->Reset();
    }
  }
}

void FaultProxy::SilenceOpen() {
  for (const auto& pair : pairs_) {
    if (const auto open = pair.lock()) {
      open->Silence();
    }
  }
}

void FaultProxy::Accept() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) {
      return;  // Closed with the proxy.
    }
    if (state_->fault == LinkFault::kReset) {
      Abort(socket);
    } else {
      std::erase_if(pairs_, [](const auto& pair) { return pair.expired(); });
      const auto pair = std::make_shared<Pair>(std::move(socket), state_);
      pairs_.push_back(pair);
      pair->Start(remote_);
    }
    Accept();
  });
}

}  // namespace hemlockwick::soak
