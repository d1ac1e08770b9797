// Stand-in of a backend of the platform.
#ifndef REVIEW_STAND_IN_2_BACKEND_H_
#define REVIEW_STAND_IN_2_BACKEND_H_

#include <random>

#include "world.h"

namespace review {

constexpr double kFirstResend = 200;
constexpr double kLongestResend = 1600;

// What a backend tells the case, and asks of it.
class BackendWorld {
 public:
  virtual ~BackendWorld() = default;

  // The flow of the client's port is open at the backend from now on.
  virtual void Opened(std::uint16_t port, const std::string& backend) = 0;
  virtual void Ran(const std::string& request, const std::string& backend) = 0;
  // Whether the network loses this reply to an opening.
  virtual auto IsLost(std::uint16_t port, const std::string& backend)
      -> bool = 0;
  [[nodiscard]] virtual auto ClientAddress() const -> Address = 0;
  // A packet of the flow, no SYN, has reached the backend.
  virtual void Arrived(std::uint16_t, const std::string&) {}
  // Whether a backend with half of a handshake is silent to a packet that
  // acknowledges another one's. Otherwise it resets the flow: it does not hold
  // it.
  [[nodiscard]] virtual auto IsSilentBeforeOpen() const -> bool {
    return false;
  }
};

// A backend, as PROTOCOL.md has it: answers a SYN with its own SYN+ACK, sends
// what is not acknowledged again after 200 ms and then ever later, acknowledges
// every second packet, and resets packets of flows that it does not hold.
class Backend {
 public:
  Backend(BackendWorld& world, Loop& loop, Record& record, std::uint64_t id,
          const Address& at, std::string zone)
      : world_(world),
        loop_(loop),
        record_(record),
        id_(id),
        at_(at),
        zone_(std::move(zone)),
        socket_(loop, at, [this](const std::string& text, const Address&) {
          Handle(text);
        }) {}

  [[nodiscard]] auto key() const -> std::string {
    return "servers/i-" + Hex(id_);
  }
  [[nodiscard]] auto name() const -> std::string { return "i-" + Hex(id_); }
  [[nodiscard]] auto at() const -> const Address& { return at_; }
  [[nodiscard]] auto zone() const -> const std::string& { return zone_; }
  [[nodiscard]] auto is_draining() const -> bool { return is_draining_; }
  [[nodiscard]] auto has_left() const -> bool { return has_left_; }

  // Closes each flow after its next answer from now on.
  void Drain() { is_draining_ = true; }
  // Is gone: sends and answers nothing more.
  void Leave() { has_left_ = true; }

 private:
  struct Flow {
    std::uint32_t seq = 0;   // Own first number.
    std::uint32_t next = 0;  // The client's next number.
    std::uint32_t echo = 0;
    bool open = false;
    int data_packets = 0;
    std::uint32_t sent = 0;  // Bytes of the answers before the last one.
    std::string answer;      // The last one; empty while it is not ready.
  };

  void Handle(const std::string& text);
  void Open(const Packet& packet);
  void SendOpeningReply(const Packet& syn, double again, int count);
  void Data(const Packet& packet, Flow& flow);
  void Send(const Packet& to, Flow& flow, std::uint8_t flags,
            const std::string& data);

  BackendWorld& world_;
  Loop& loop_;
  Record& record_;
  const std::uint64_t id_;
  const Address at_;
  const std::string zone_;
  bool is_draining_ = false;
  bool has_left_ = false;
  UdpSocket socket_;
  std::map<std::uint16_t, Flow> flows_;  // By the client's port.
  std::mt19937 random_{static_cast<std::uint32_t>(id_)};
};

inline void Backend::Handle(const std::string& text) {
  if (text.size() < 8 || has_left_) {
    return;
  }
  auto intended = std::uint64_t{0};
  for (auto at = 0; at < 8; ++at) {
    intended = intended << 8 | static_cast<unsigned char>(text[at]);
  }
  const auto packet = Decode(text.substr(8));
  if (!packet || (intended != 0 && intended != id_)) {
    return;  // Silent when it is not the intended one.
  }
  if ((packet->flags & kSyn) != 0) {
    Open(*packet);
    return;
  }
  world_.Arrived(packet->from.port, name());
  const auto found = flows_.find(packet->from.port);
  if (world_.IsSilentBeforeOpen() && found != flows_.end() &&
      !found->second.open && packet->ack != found->second.seq + 1) {
    return;
  }
  const auto holds =
      found != flows_.end() &&
      (found->second.open || packet->ack == found->second.seq + 1);
  if (!holds) {
    // A flow opens at the backend whose seq is acknowledged, so this one does
    // not hold it.
    if ((packet->flags & kRst) == 0) {
      record_.Line(name() + " gets a packet of flow :" +
                   std::to_string(packet->from.port) +
                   ", which it does not hold, and resets it");
      auto reset = Packet();
      reset.flags = kRst;
      reset.from = packet->to;
      reset.to = packet->from;
      reset.seq = packet->ack;
      reset.echo = packet->echo;
      socket_.Send(Encode(reset), world_.ClientAddress());
    }
    return;
  }
  auto& flow = found->second;
  flow.echo = packet->echo;
  if (!flow.open) {
    flow.open = true;
    world_.Opened(packet->from.port, name());
  }
  if (!packet->data.empty()) {
    Data(*packet, flow);
  }
  if ((packet->flags & kFin) != 0) {
    Send(*packet, flow, kAck | kFin, "");
    flows_.erase(found);
  }
}

inline void Backend::Open(const Packet& packet) {
  auto& flow = flows_[packet.from.port];
  const auto is_new = flow.next == 0;
  if (is_new) {
    flow.next = packet.seq + 1;
    flow.seq = random_() >> 2;
  }
  flow.echo = packet.echo;
  SendOpeningReply(packet, is_new ? kFirstResend : 0, 0);
}

// Sent again after 200 ms, then ever later, 8 times at most.
inline void Backend::SendOpeningReply(const Packet& syn, double again,
                                      int count) {
  const auto port = syn.from.port;
  const auto found = flows_.find(port);
  if (found == flows_.end() || (count > 0 && found->second.open)) {
    return;
  }
  auto& flow = found->second;
  auto packet = Packet();
  packet.flags = kSyn | kAck;
  packet.from = syn.to;
  packet.to = syn.from;
  packet.seq = flow.seq;
  packet.ack = flow.next;
  packet.echo = flow.echo;
  if (!world_.IsLost(port, name())) {
    socket_.Send(Encode(packet), world_.ClientAddress());
  }
  if (again > 0 && count < 8) {
    loop_.After(again, [this, syn, again, count] {
      SendOpeningReply(syn, std::min(2 * again, kLongestResend), count + 1);
    });
  }
}

inline void Backend::Data(const Packet& packet, Flow& flow) {
  ++flow.data_packets;
  const auto is_new = packet.seq == flow.next;
  if (is_new) {
    flow.next += static_cast<std::uint32_t>(packet.data.size());
    flow.sent += static_cast<std::uint32_t>(flow.answer.size());
    flow.answer.clear();
    world_.Ran(packet.data, name());
    const auto work = std::strtod(
        packet.data.substr(packet.data.rfind(' ')).c_str(), nullptr);
    loop_.After(work, [this, packet] {
      const auto found = flows_.find(packet.from.port);
      if (found != flows_.end() && !has_left_) {
        found->second.answer = "done " + packet.data;
        const auto fin = is_draining_ ? kFin : std::uint8_t{0};
        Send(packet, found->second, kAck | fin, found->second.answer);
      }
    });
  }
  if (flow.data_packets % 2 == 0) {
    Send(packet, flow, kAck, flow.answer);
  }
}

inline void Backend::Send(const Packet& to, Flow& flow, std::uint8_t flags,
                          const std::string& data) {
  auto packet = Packet();
  packet.flags = flags;
  packet.from = to.to;
  packet.to = to.from;
  packet.seq = flow.seq + 1 + flow.sent;
  packet.ack = flow.next;
  packet.echo = flow.echo;
  packet.data = data;
  socket_.Send(Encode(packet), world_.ClientAddress());
}

}  // namespace review

#endif  // REVIEW_STAND_IN_2_BACKEND_H_
