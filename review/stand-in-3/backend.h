// A backend (PROTOCOL.md, Packets, Flows, Backends, Service discovery).
#ifndef REVIEW_STAND_IN_3_BACKEND_H_
#define REVIEW_STAND_IN_3_BACKEND_H_

#include <random>
#include <set>

#include "loop.h"
#include "record.h"
#include "store.h"

namespace review {

using FlowKey = std::pair<Address, Address>;  // Client's end, route.

constexpr std::int64_t kWork = 20;  // Milliseconds to a response.

class Backend {
 public:
  struct Place {
    std::string id;            // Its key in the store is servers/ID.
    std::uint64_t number = 0;  // The hex digits of `id`.
    std::string service;
    std::string zone;
    Address address;
  };

  Backend(Loop& loop, Store& store, Record& record, Place place,
          std::uint16_t client_port)
      : loop_(loop),
        store_(store),
        record_(record),
        place_(std::move(place)),
        client_port_(client_port),
        random_(place_.number),
        socket_(
            loop, place_.address,
            [this](const std::string& bytes, const Address&) { Take(bytes); }) {
    Register();
  }

  [[nodiscard]] auto place() const -> const Place& { return place_; }
  [[nodiscard]] auto Holds(const FlowKey& key) const -> bool {
    const auto found = flows_.find(key);
    return found != flows_.end() && found->second.open;
  }

 private:
  struct Flow {
    bool open = false;
    std::uint32_t start = 0;     // Own first number.
    std::uint32_t next = 0;      // Own next number.
    std::uint32_t expected = 0;  // The client's next number.
    std::uint32_t echo = 0;
    std::string input;
    std::optional<Packet> unacknowledged;
  };

  void Register() {
    store_.Put(
        "servers/" + place_.id,
        R"({"service":")" + place_.service + R"(","address":")" +
            Text(place_.address) + R"(","zone":")" + place_.zone +
            R"(","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,)"
            R"("sequence":1})");
  }

  void Send(const FlowKey& key, Packet packet) {
    packet.src = key.second;
    packet.dst = key.first;
    packet.sum = packet.Sum();
    socket_.Send(packet.Encode(), {key.first.ip, client_port_});
  }

  void SendReset(const FlowKey& key, const Packet& cause) {
    auto reset = Packet();
    reset.flags = Packet::kRst;
    reset.seq = cause.ack;
    reset.echo = cause.echo;
    record_.Line(place_.id + " doesn't hold flow " + Text(key.first) +
                 " and resets it");
    Send(key, reset);
  }

  void Take(const std::string& bytes) {
    if (bytes.size() < 8) {
      return;
    }
    auto meant = std::uint64_t{0};
    for (auto index = 0; index < 8; ++index) {
      meant = meant << 8 | static_cast<std::uint8_t>(bytes[index]);
    }
    const auto packet = Packet::Decode(bytes.substr(8));
    if ((meant != 0 && meant != place_.number) || !packet ||
        packet->sum != packet->Sum()) {
      return;
    }
    const auto key = FlowKey{packet->src, packet->dst};
    if (packet->has(Packet::kSyn)) {
      TakeOpening(key, *packet);
      return;
    }
    const auto found = flows_.find(key);
    if (packet->has(Packet::kRst)) {
      flows_.erase(key);
      return;
    }
    // A half-open flow whose number the packet does not acknowledge is not the
    // client's.
    if (found == flows_.end() ||
        (!found->second.open && packet->ack != found->second.start + 1)) {
      SendReset(key, *packet);
      return;
    }
    TakeData(key, found->second, *packet);
  }

  void TakeOpening(const FlowKey& key, const Packet& packet) {
    const auto [found, is_new] = flows_.try_emplace(key);
    auto& flow = found->second;
    if (flow.open) {
      return;  // A late copy.
    }
    flow.echo = packet.echo;
    if (is_new) {
      flow.start = static_cast<std::uint32_t>(random_());
      flow.next = flow.start + 1;
      flow.expected = packet.seq + 1;
      SendOpeningAgain(key, flow.start, 200, 0);
    }
    SendOpeningReply(key, flow);
  }

  void SendOpeningReply(const FlowKey& key, const Flow& flow) {
    auto reply = Packet();
    reply.flags = Packet::kSyn | Packet::kAck;
    reply.seq = flow.start;
    reply.ack = flow.expected;
    reply.echo = flow.echo;
    Send(key, reply);
  }

  // After 200 ms, doubling up to 1.6 s; gives up after 8.
  void SendOpeningAgain(const FlowKey& key, std::uint32_t start,
                        std::int64_t wait, int sent) {
    loop_.After(wait, [this, key, start, wait, sent] {
      const auto found = flows_.find(key);
      if (found == flows_.end() || found->second.open ||
          found->second.start != start) {
        return;
      }
      if (sent == 8) {
        flows_.erase(found);
        return;
      }
      SendOpeningReply(key, found->second);
      SendOpeningAgain(key, start, std::min<std::int64_t>(2 * wait, 1600),
                       sent + 1);
    });
  }

  void TakeData(const FlowKey& key, Flow& flow, const Packet& packet) {
    flow.open = true;
    flow.echo = packet.echo;
    if (flow.unacknowledged && packet.ack == flow.next) {
      flow.unacknowledged.reset();
    }
    const auto is_next = packet.seq == flow.expected;
    if (is_next) {
      flow.expected += static_cast<std::uint32_t>(packet.data.size());
      flow.input += packet.data;
    }
    if (!packet.data.empty() || packet.has(Packet::kFin)) {
      auto acknowledgement = Packet();
      acknowledgement.flags = Packet::kAck;
      acknowledgement.seq = flow.next;
      acknowledgement.ack = flow.expected;
      acknowledgement.echo = flow.echo;
      Send(key, acknowledgement);
    }
    if (packet.has(Packet::kFin)) {
      flows_.erase(key);
      return;
    }
    const auto end = flow.input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    const auto at = flow.input.find("X-Request-Id: ") + 14;
    const auto request =
        flow.input.substr(at, flow.input.find("\r\n", at) - at);
    flow.input.clear();
    record_.Line(place_.id + " runs " + request);
    loop_.After(kWork, [this, key, request] { Answer(key, request); });
  }

  void Answer(const FlowKey& key, const std::string& request) {
    const auto found = flows_.find(key);
    if (found == flows_.end()) {
      return;
    }
    auto& flow = found->second;
    auto answer = Packet();
    answer.flags = Packet::kAck;
    answer.seq = flow.next;
    answer.ack = flow.expected;
    answer.echo = flow.echo;
    answer.data = "HTTP/1.1 200 OK\r\nX-Response-Stamp: " + place_.id + "-" +
                  request + "\r\nContent-Length: 4\r\n\r\ndone";
    flow.next += static_cast<std::uint32_t>(answer.data.size());
    flow.unacknowledged = answer;
    Send(key, answer);
    SendAgain(key, answer.seq, 200, 0);
  }

  void SendAgain(const FlowKey& key, std::uint32_t seq, std::int64_t wait,
                 int sent) {
    loop_.After(wait, [this, key, seq, wait, sent] {
      const auto found = flows_.find(key);
      if (found == flows_.end() || !found->second.unacknowledged ||
          found->second.unacknowledged->seq != seq || sent == 8) {
        return;
      }
      found->second.unacknowledged->echo = found->second.echo;
      Send(key, *found->second.unacknowledged);
      SendAgain(key, seq, std::min<std::int64_t>(2 * wait, 1600), sent + 1);
    });
  }

  Loop& loop_;
  Store& store_;
  Record& record_;
  const Place place_;
  const std::uint16_t client_port_;
  std::mt19937_64 random_;
  std::map<FlowKey, Flow> flows_;
  Udp socket_;
};

}  // namespace review

#endif  // REVIEW_STAND_IN_3_BACKEND_H_
