// A flow of a client, kept open for many requests with pauses between them
// (PROTOCOL.md, Flows).
#ifndef REVIEW_STAND_IN_3_CLIENT_H_
#define REVIEW_STAND_IN_3_CLIENT_H_

#include <algorithm>
#include <functional>
#include <utility>

#include "backend.h"
#include "fleet.h"

namespace review {

// A reset of an open flow, as rule FLOW (a) looks at it.
struct ResetSeen {
  FlowKey flow;
  bool by_system = false;
  Address sender;              // Where the datagram came from.
  std::string node;            // Machine that took the client's last packet.
  std::int64_t node_calm = 0;  // How long that machine had been calm then.
  std::string request;         // Without an answer; empty: none.
};

struct ClientLinks {
  Loop* loop = nullptr;
  Record* record = nullptr;
  Fleet* fleet = nullptr;
  std::uint16_t packet_port = 0;
  std::function<void(const ResetSeen&)> on_reset;
  // Called at the end of the handshake and after each answer: the pause before
  // the next request; negative: closes the flow.
  std::function<std::int64_t(int requests)> pause;
};

class Client {
 public:
  Client(const ClientLinks& links, Udp& socket, std::uint32_t ip,
         const Address& route, std::uint16_t port, std::uint32_t start)
      : links_(links), key_{{ip, port}, route}, seq_(start), socket_(socket) {}

  void Open() {
    state_ = State::kOpening;
    for (const auto& [copy, wait] : {std::pair{0U, 0}, {1U, 200}, {2U, 600}}) {
      links_.loop->After(wait, [this, copy = copy] { SendOpening(copy); });
    }
    links_.loop->After(1400, [this] {
      if (state_ == State::kOpening) {
        state_ = State::kClosed;
      }
    });
  }

  // Takes a datagram that has arrived at the client's address.
  void Take(const std::string& bytes, const Address& from) {
    const auto packet = Packet::Decode(bytes);
    if (!packet || packet->src != key_.second || packet->dst != key_.first ||
        state_ == State::kNew || state_ == State::kClosed) {
      return;
    }
    const auto by_system = packet->sum == 0 && packet->has(Packet::kRst);
    if (!by_system && packet->sum != packet->Sum()) {
      return;
    }
    if (!by_system) {
      echo_ = packet->echo;  // The last one received on the flow.
    }
    if (packet->has(Packet::kRst)) {
      TakeReset(*packet, by_system, from);
    } else if (packet->has(Packet::kSyn)) {
      TakeOpeningReply(*packet);
    } else if (state_ == State::kOpen) {
      TakeData(*packet);
    }
  }

  [[nodiscard]] auto answered() const -> int { return answered_; }
  [[nodiscard]] auto name() const -> std::string { return Text(key_.first); }

 private:
  enum class State { kNew, kOpening, kOpen, kClosed };

  void SendOpening(std::uint32_t copy) {
    if (state_ != State::kOpening) {
      return;
    }
    auto packet = Packet();
    packet.flags = Packet::kSyn;
    packet.seq = seq_;
    packet.ack = copy;
    const auto node = Send(packet);
    links_.record->Line(name() + " sends opening, copy " +
                        std::to_string(copy) + ", through " + node);
  }

  auto Send(Packet packet) -> std::string {
    packet.src = key_.first;
    packet.dst = key_.second;
    if (!packet.has(Packet::kSyn)) {
      packet.ack = ack_;
      packet.echo = echo_;
    }
    packet.sum = packet.Sum();
    auto* const node = links_.fleet->Route(packet.src, packet.dst);
    last_node_ = node;
    socket_.Send(packet.Encode(), {node->ip, links_.packet_port});
    return node->name;
  }

  void TakeReset(const Packet& packet, bool by_system, const Address& from) {
    const auto distance = static_cast<std::int32_t>(packet.seq - ack_);
    if (state_ == State::kOpen && std::abs(distance) > 76'800) {
      return;
    }
    if (state_ == State::kOpen) {
      links_.on_reset({key_, by_system, from, last_node_->name,
                       links_.loop->Now() - last_node_->calm_since, request_});
    }
    state_ = State::kClosed;
  }

  void TakeOpeningReply(const Packet& packet) {
    if (state_ != State::kOpening || packet.ack != seq_ + 1) {
      return;
    }
    state_ = State::kOpen;
    seq_ += 1;
    ack_ = packet.seq + 1;
    Acknowledge();
    Next();
  }

  void Acknowledge() {
    auto packet = Packet();
    packet.flags = Packet::kAck;
    packet.seq = seq_;
    Send(packet);
  }

  void Next() {
    const auto pause = links_.pause(answered_);
    if (pause < 0) {
      auto packet = Packet();
      packet.flags = Packet::kFin | Packet::kAck;
      packet.seq = seq_;
      Send(packet);
      state_ = State::kClosed;
      return;
    }
    links_.loop->After(pause, [this] {
      if (state_ == State::kOpen) {
        request_ = name() + "-" + std::to_string(answered_ + 1);
        data_ = "GET / HTTP/1.1\r\nHost: r\r\nX-Request-Id: " + request_ +
                "\r\n\r\n";
        SendRequest(request_, 200);
      }
    });
  }

  // Again after 200 ms, doubling up to 1.6 s, until the response is there.
  void SendRequest(const std::string& request, std::int64_t again) {
    if (state_ != State::kOpen || request_ != request) {
      return;
    }
    auto packet = Packet();
    packet.flags = Packet::kAck;
    packet.seq = seq_;
    packet.data = data_;
    const auto node = Send(packet);
    links_.record->Line(name() + " sends " + request + " through " + node);
    links_.loop->After(again, [this, request, again] {
      SendRequest(request, std::min<std::int64_t>(2 * again, 1600));
    });
  }

  void TakeData(const Packet& packet) {
    if (packet.data.empty() || packet.seq != ack_) {
      if (!packet.data.empty()) {
        Acknowledge();
      }
      return;
    }
    ack_ += static_cast<std::uint32_t>(packet.data.size());
    seq_ += static_cast<std::uint32_t>(data_.size());
    data_.clear();
    Acknowledge();
    ++answered_;
    links_.record->Line(name() + " has the answer to " + request_);
    request_.clear();
    if (packet.has(Packet::kFin)) {
      auto end = Packet();
      end.flags = Packet::kFin | Packet::kAck;
      end.seq = seq_;
      Send(end);
      state_ = State::kClosed;
      return;
    }
    Next();
  }

  const ClientLinks& links_;
  const FlowKey key_;
  std::uint32_t seq_;
  std::uint32_t ack_ = 0;
  std::uint32_t echo_ = 0;
  State state_ = State::kNew;
  int answered_ = 0;
  std::string request_;
  std::string data_;
  Fleet::Node* last_node_ = nullptr;
  Udp& socket_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_CLIENT_H_
