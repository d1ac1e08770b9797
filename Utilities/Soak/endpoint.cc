#include "Soak/endpoint.h"

#include <algorithm>
#include <sstream>

#include "Edge/router_log.h"

namespace hemlockwick::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Work of a request; a few take several times as long.
constexpr Duration kWork = std::chrono::milliseconds(15);
constexpr Duration kLongWork = std::chrono::milliseconds(250);
constexpr double kLongShare = 0.03;

// An opening's reply without an answer is sent again after this time, which
// doubles, so many times; then the flow is forgotten.
constexpr Duration kFirstResend = std::chrono::milliseconds(200);
constexpr Duration kLongestResend = std::chrono::milliseconds(1600);
constexpr int kMaxReplies = 8;

constexpr std::size_t kPrefixBytes = 8;

auto NumberOf(std::span<const std::uint8_t> prefix) -> std::uint64_t {
  auto number = std::uint64_t{0};
  for (const auto byte : prefix) {
    number = (number << 8) | byte;
  }
  return number;
}

// The reset that answers a packet.
auto ResetOf(const Packet& packet) -> Packet {
  auto reset = Packet();
  reset.from = packet.to;
  reset.to = packet.from;
  reset.rst = true;
  reset.seq = packet.ack;
  return reset;
}

}  // namespace

Endpoint::Endpoint(World& world, std::uint64_t id, std::string service,
                   std::string zone, const SocketAddress& address,
                   RunLedger& ledger, const EndpointLinks& links)
    : world_(world),
      id_(id),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(address),
      ledger_(ledger),
      links_(links),
      socket_(world.context(),
              udp::endpoint(asio::ip::address_v4(address.ip.value()),
                            address.port.value())) {
  Receive();
}

auto Endpoint::key() const -> std::string { return "servers/i-" + HexOf(id_); }

auto Endpoint::entry() const -> std::string {
  auto text = std::ostringstream();
  text << R"({"service":")" << service_ << R"(","address":")"
       << ToString(address_) << R"(","zone":")" << zone_
       << R"(","version":"v1","slots":3,"state":")"
       << (draining_since_ ? "draining" : "ready")
       << R"(","coldRemainingMs":0,"sequence":1})";
  return text.str();
}

void Endpoint::CutOffUntil(TimePoint end) {
  cut_off_until_ = end;
  calm_.DisturbUntil(end);
}

auto Endpoint::is_cut_off() const -> bool {
  return world_.Now() < cut_off_until_;
}

void Endpoint::FailUntil(TimePoint end) {
  failing_until_ = end;
  calm_.DisturbUntil(end);
}

void Endpoint::End() {
  ended_ = true;
  while (!flows_.empty()) {
    Forget(FlowId(flows_.begin()->first));
  }
  auto ignored = boost::system::error_code();
  socket_.close(ignored);
}

void Endpoint::Receive() {
  socket_.async_receive_from(
      asio::buffer(buffer_), sender_,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (ended_) {
          return;
        }
        const auto instance = Ipv4Address(sender_.address().to_v4().to_uint());
        if (!error && !is_cut_off() && !links_.is_lost(instance)) {
          Handle(std::span(buffer_).first(size), instance);
        }
        Receive();
      });
}

void Endpoint::Handle(std::span<const std::uint8_t> bytes,
                      Ipv4Address instance) {
  if (bytes.size() < kPrefixBytes) {
    world_.Break("packets are unchanged", "a datagram without a prefix");
    return;
  }
  const auto intended = NumberOf(bytes.first(kPrefixBytes));
  const auto packet = Decode(bytes.subspan(kPrefixBytes));
  if (intended != id_) {
    // The address had another owner; silence is right.
    world_.Count("packets for an earlier owner of an address");
    if (packet && !packet->syn) {
      links_.flows->Strayed({packet->from, packet->to}, id_, instance);
    }
    return;
  }
  if (!packet || !IsIntact(*packet)) {
    world_.Break("packets are unchanged", "at " + key());
    return;
  }
  HandlePacket(*packet, instance);
}

void Endpoint::HandlePacket(const Packet& packet, Ipv4Address instance) {
  if (links_.service_of(packet.to) != service_) {
    world_.Break("a service's packets reach only its endpoints",
                 ToString(packet.to) + " at " + key());
  }
  const auto id = FlowId(packet.from, packet.to);
  if (packet.syn) {
    Open(packet, instance);
    return;
  }
  const auto found = flows_.find(id);
  if (packet.rst) {
    Forget(id);
    return;
  }
  if (found == flows_.end()) {
    links_.flows->Strayed(id, id_, instance);
    Send(ResetOf(packet));
    return;
  }
  auto& flow = found->second;
  flow.echo = packet.echo;
  if (!flow.open && packet.ack != flow.seq + 1) {
    // The caller has opened the flow at another endpoint.
    links_.flows->Strayed(id, id_, instance);
    return;
  }
  flow.open = true;
  links_.flows->Arrived(id, id_);
  if (!packet.data.empty()) {
    if (links_.is_evacuated(zone_, instance)) {
      world_.Count("requests of open flows in evacuated data centres");
    }
    Run(id, flow, packet);
  }
  if (packet.fin) {
    auto end = Packet();
    end.ack_flag = true;
    Reply(id, flow, end);
    Forget(id);
  }
}

void Endpoint::Open(const Packet& packet, Ipv4Address instance) {
  CheckOpening(packet, instance);
  const auto id = FlowId(packet.from, packet.to);
  auto& flow = flows_[id];
  if (flow.next_seq == 0) {
    flow.next_seq = packet.seq + 1;
    flow.seq = static_cast<std::uint32_t>(world_.random().Below(1U << 30));
    ReplyAgain(id, flow.seq, kFirstResend);
  }
  flow.echo = packet.echo;
  SendOpeningReply(id, flow);
}

// Sends the reply to an opening again while the caller does not answer it.
// `seq` tells the flow from later ones.
void Endpoint::ReplyAgain(const FlowId& id, std::uint32_t seq, Duration again) {
  world_.After(again, [this, id, seq, again] {
    const auto found = flows_.find(id);
    if (found == flows_.end() || found->second.open ||
        found->second.seq != seq) {
      return;
    }
    if (++found->second.replies > kMaxReplies) {
      Forget(id);
      return;
    }
    world_.Count("replies to openings sent again");
    SendOpeningReply(id, found->second);
    ReplyAgain(id, seq, std::min(2 * again, kLongestResend));
  });
}

void Endpoint::SendOpeningReply(const FlowId& id, const Flow& flow) {
  auto answer = Packet();
  answer.from = id.second;
  answer.to = id.first;
  answer.syn = true;
  answer.ack_flag = true;
  answer.seq = flow.seq;
  answer.ack = flow.next_seq;
  answer.echo = flow.echo;
  Send(answer);
}

void Endpoint::Forget(const FlowId& id) {
  flows_.erase(id);
  links_.flows->Ended(id, id_);
}

// A new flow must not come long after the endpoint said that it leaves or its
// data centre was evacuated, nor for a route that was removed.
void Endpoint::CheckOpening(const Packet& packet, Ipv4Address instance) {
  const auto now = world_.Now();
  const auto is_late = [now](const std::optional<TimePoint>& since) {
    return since && now - *since > kInForceTime;
  };
  const auto is_new = !flows_.contains({packet.from, packet.to});
  if (is_new && links_.is_evacuated(zone_, instance)) {
    world_.Break("an evacuated data centre gets no new flows",
                 key() + " through " + ToString(instance));
  }
  if (!links_.is_calm(instance)) {
    return;
  }
  if (is_late(draining_since_)) {
    world_.Break("a leaving endpoint gets no new flows", key());
  }
  if (is_late(links_.removed_at(packet.to))) {
    world_.Break("a removed route takes no new flows", ToString(packet.to));
  }
}

void Endpoint::Run(const FlowId& id, Flow& flow, const Packet& packet) {
  if (packet.seq != flow.next_seq) {
    // Sent again: repeat the answer if there is one.
    if (!flow.answer.data.empty()) {
      Send(flow.answer);
    }
    return;
  }
  flow.next_seq += static_cast<std::uint32_t>(packet.data.size());
  flow.answer = Packet();
  const auto runs = ledger_.Note(packet.data);
  if (runs > 1 && packet.data.starts_with("unsafe")) {
    world_.Break("an unsafe request runs at most once", packet.data);
  }
  if (IsFailing()) {
    FailRequest(packet);
    return;
  }
  const auto work = world_.random().Chance(kLongShare) ? kLongWork : kWork;
  world_.After(work,
               [this, id, request = packet.data] { Answer(id, request); });
}

auto Endpoint::IsFailing() -> bool {
  return world_.Now() < failing_until_ && world_.random().Chance(0.5);
}

// Ends the flow of a request, with or without a word to the caller.
void Endpoint::FailRequest(const Packet& packet) {
  Forget({packet.from, packet.to});
  if (world_.random().Chance(0.5)) {
    Send(ResetOf(packet));
  }
}

void Endpoint::Send(const Packet& packet) {
  if (!is_cut_off()) {
    links_.to_caller(packet, id_);
  }
}

void Endpoint::Answer(const FlowId& id, const std::string& request) {
  const auto found = flows_.find(id);
  if (ended_ || found == flows_.end()) {
    return;
  }
  auto answer = Packet();
  answer.ack_flag = true;
  answer.data = "done " + request;
  answer.fin = is_draining();
  Reply(id, found->second, answer);
  found->second.seq += static_cast<std::uint32_t>(answer.data.size());
}

void Endpoint::Reply(const FlowId& id, Flow& flow, Packet packet) {
  packet.from = id.second;
  packet.to = id.first;
  packet.seq = flow.seq + 1;
  packet.ack = flow.next_seq;
  packet.echo = flow.echo;
  flow.answer = packet;
  Send(packet);
}

}  // namespace hemlockwick::soak
