#include "Soak/caller.h"

#include <utility>

namespace hemlockwick::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Times of the platform's callers.
constexpr Duration kSecondCopy = std::chrono::milliseconds(200);
constexpr Duration kThirdCopy = std::chrono::milliseconds(600);
constexpr Duration kOpeningTime = std::chrono::milliseconds(1400);
constexpr Duration kFirstResend = std::chrono::milliseconds(200);
constexpr Duration kLongestResend = std::chrono::milliseconds(1600);
constexpr Duration kDeadline = std::chrono::milliseconds(2500);
constexpr int kMaxTries = 3;

constexpr Duration kPause = std::chrono::milliseconds(120);

}  // namespace

Caller::Caller(World& world, Ipv4Address ip, std::string zone, Habit habit,
               const SocketAddress& service, const CallerLinks& links)
    : world_(world),
      ip_(ip),
      zone_(std::move(zone)),
      habit_(habit),
      service_(service),
      links_(links),
      socket_(world.context(), udp::endpoint(asio::ip::address_v4(ip.value()),
                                             kPacketPort.value())) {}

void Caller::Start() {
  Receive();
  NextRequest();
}

void Caller::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [self = shared_from_this()](const boost::system::error_code& error,
                                  std::size_t size) {
        if (self->stopped_) {
          return;
        }
        const auto packet =
            error ? std::nullopt : Decode(std::span(self->buffer_).first(size));
        if (packet) {
          self->FromInstance(
              *packet, Ipv4Address(self->sender_.address().to_v4().to_uint()));
        }
        self->Receive();
      });
}

// Only resets come from instances.
void Caller::FromInstance(const Packet& packet, Ipv4Address instance) {
  const auto is_ours = packet.to == SocketAddress{ip_, Port(port_)} &&
                       packet.from == service_ && state_ != State::kIdle;
  if (!packet.rst || packet.sum != 0 || !packet.data.empty()) {
    world_.Break("callers get only resets from instances", ToString(ip_));
    return;
  }
  if (!is_ours) {
    return;
  }
  world_.Count("resets by instances");
  if (state_ == State::kOpen &&
      links_.is_wrong_reset(instance, service_, endpoint_)) {
    world_.Break("no flow of a living endpoint is reset",
                 ToString(ip_) + ":" + std::to_string(port_) + " by " +
                     ToString(instance));
  }
  if (state_ == State::kOpening) {
    links_.opening_refused(instance, service_);
  }
  TryFailed(sent_);
}

void Caller::FromEndpoint(const Packet& packet, std::uint64_t endpoint) {
  const auto is_ours = packet.to.port.value() == port_ &&
                       packet.from == service_ && state_ != State::kIdle;
  if (!is_ours) {
    return;
  }
  // Every packet's token is repeated, also that of a late reply to a copy of
  // the opening.
  echo_ = packet.echo;
  if (packet.rst) {
    world_.Count("resets by endpoints");
    if (state_ == State::kOpen &&
        links_.is_wrong_endpoint({packet.to, packet.from}, endpoint)) {
      world_.Break("no flow of a living endpoint is reset",
                   ToString(packet.to) + " by another endpoint");
    }
    TryFailed(sent_);
    return;
  }
  if (packet.syn) {
    if (state_ == State::kOpening) {
      state_ = State::kOpen;
      endpoint_ = endpoint;
      ack_ = packet.seq + 1;
      ++seq_;
      SendRequest(kFirstResend);
    }
    return;
  }
  if (state_ != State::kOpen || packet.data.empty() ||
      packet.data != "done " + request_) {
    if (!packet.data.empty() && !request_.empty() &&
        packet.data.find(ToString(ip_)) == std::string::npos) {
      world_.Break("callers get their own answers", packet.data);
    }
    return;
  }
  ack_ = packet.seq + static_cast<std::uint32_t>(packet.data.size());
  seq_ += static_cast<std::uint32_t>(request_.size());
  auto acknowledgement = Packet();
  acknowledgement.ack_flag = true;
  Send(acknowledgement);
  if (packet.fin || habit_ == Habit::kOrders) {
    CloseFlow();
  }
  Served();
}

void Caller::NextRequest() {
  if (stopping_) {
    stopped_ = true;
    auto ignored = boost::system::error_code();
    socket_.close(ignored);
    return;
  }
  const auto* const kind = habit_ == Habit::kFeed ? "safe " : "unsafe ";
  request_ = kind + ToString(ip_) + " " + std::to_string(++request_number_);
  tries_ = 0;
  world_.After(
      kDeadline, [self = shared_from_this(), number = request_number_] {
        if (self->request_number_ == number && !self->request_.empty()) {
          self->state_ = State::kIdle;
          self->Finish(false);
        }
      });
  Try();
}

void Caller::Try() {
  ++tries_;
  ++try_number_;
  sent_ = false;
  if (state_ == State::kOpen) {
    SendRequest(kFirstResend);
  } else {
    OpenFlow();
  }
}

void Caller::OpenFlow() {
  state_ = State::kOpening;
  port_ = port_ == 65535 ? 1024 : static_cast<std::uint16_t>(port_ + 1);
  seq_ = static_cast<std::uint32_t>(world_.random().Below(1U << 30));
  echo_ = 0;
  ack_ = 0;
  const auto later = [this](Duration time, auto action) {
    world_.After(
        time, [self = shared_from_this(), action, number = try_number_] {
          if (self->try_number_ == number && self->state_ == State::kOpening) {
            action(*self);
          }
        });
  };
  SendOpening(0);
  later(kSecondCopy, [](Caller& caller) { caller.SendOpening(1); });
  later(kThirdCopy, [](Caller& caller) { caller.SendOpening(2); });
  later(kOpeningTime, [](Caller& caller) { caller.TryFailed(false); });
}

void Caller::SendOpening(std::uint32_t copy) {
  auto packet = Packet();
  packet.syn = true;
  packet.ack = copy;
  Send(packet);
}

// Sends the request, and again after `again` and ever longer.
void Caller::SendRequest(Duration again) {
  sent_ = true;
  auto packet = Packet();
  packet.ack_flag = true;
  packet.data = request_;
  Send(packet);
  world_.After(again, [self = shared_from_this(), again, number = try_number_] {
    if (self->try_number_ == number && self->state_ == State::kOpen &&
        !self->request_.empty()) {
      self->SendRequest(std::min(2 * again, kLongestResend));
    }
  });
}

void Caller::Send(Packet packet) {
  packet.from = {ip_, Port(port_)};
  packet.to = service_;
  packet.seq = seq_;
  if (!packet.syn) {
    packet.ack = ack_;
    packet.echo = echo_;
  }
  const auto instance = links_.route(packet.from, service_, zone_);
  if (links_.is_lost(instance.ip)) {
    return;
  }
  auto ignored = boost::system::error_code();
  socket_.send_to(asio::buffer(Encode(packet)),
                  udp::endpoint(asio::ip::address_v4(instance.ip.value()),
                                instance.port.value()),
                  0, ignored);
}

void Caller::CloseFlow() {
  auto packet = Packet();
  packet.fin = true;
  packet.ack_flag = true;
  Send(packet);
  state_ = State::kIdle;
}

void Caller::Served() { Finish(true); }

// Ends a try whose flow is gone. Unsafe requests are tried again only when
// they cannot have run.
void Caller::TryFailed(bool may_have_run) {
  state_ = State::kIdle;
  if (request_.empty()) {
    return;  // Between requests: the next one opens a new flow.
  }
  const auto may_try =
      tries_ < kMaxTries && (habit_ == Habit::kFeed || !may_have_run);
  if (may_try) {
    Try();
  } else {
    Finish(false);
  }
}

void Caller::Finish(bool served) {
  links_.done(served, tries_ == 1);
  ++try_number_;
  request_.clear();
  const auto pause = kPause / 2 + world_.random().DurationBelow(kPause);
  world_.After(pause, [self = shared_from_this()] { self->NextRequest(); });
}

}  // namespace hemlockwick::soak
