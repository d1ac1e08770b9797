#include "backend.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "fleet.h"

namespace review {

namespace {

constexpr int kSlots = 3;
constexpr std::size_t kPrefixBytes = 8;
constexpr Seconds kMeanWork = 0.034;
// A lone packet is acknowledged after this time unless a response comes first.
constexpr Seconds kAckDelay = 0.04;
// A flow that is idle for this long is closed; less than idleTimeoutMs.
constexpr Seconds kIdleTime = 12.0;

auto IntendedOf(std::string_view bytes) -> std::uint64_t {
  auto number = std::uint64_t{0};
  for (const auto letter : bytes.substr(0, kPrefixBytes)) {
    number = (number << 8) | static_cast<unsigned char>(letter);
  }
  return number;
}

}  // namespace

Backend::Backend(Loop& loop, std::uint64_t id, std::string service,
                 std::string zone, const Address& address, std::uint64_t seed,
                 const BackendEvents& events)
    : loop_(loop),
      id_(id),
      service_(std::move(service)),
      zone_(std::move(zone)),
      address_(address),
      events_(events),
      random_(seed),
      socket_(loop, address,
              [this](std::string_view bytes, const Address& sender) {
                Receive(bytes, sender);
              }) {
  loop_.Every(1.0, [this] { CloseIdle(); });
}

auto Backend::key() const -> std::string {
  auto text = std::array<char, 32>();
  const auto size = std::snprintf(text.data(), text.size(), "servers/i-%08llx",
                                  static_cast<unsigned long long>(id_));
  return {text.data(), static_cast<std::size_t>(size)};
}

auto Backend::Entry() const -> std::string {
  return R"({"service":")" + service_ + R"(","address":")" + ToText(address_) +
         R"(","zone":")" + zone_ +
         R"(","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,)"
         R"("sequence":1,"born":1775000000000})";
}

void Backend::Receive(std::string_view bytes, const Address& sender) {
  const auto intended =
      bytes.size() < kPrefixBytes ? std::uint64_t{1} : IntendedOf(bytes);
  if (intended != id_ && intended != 0) {
    return;
  }
  const auto packet = Decode(bytes.substr(kPrefixBytes));
  if (!packet || !IsIntact(*packet)) {
    events_.damaged(id_);
    return;
  }
  events_.arrived(id_, *packet, sender.ip);
  Handle(*packet);
}

void Backend::Handle(const Packet& packet) {
  const auto id = FlowId{packet.from, packet.to};
  if (packet.syn) {
    HandleSyn(id, packet);
    return;
  }
  const auto found = flows_.find(id);
  if (packet.rst) {
    flows_.erase(id);
    return;
  }
  if (found == flows_.end()) {
    auto reset = Packet();
    reset.rst = true;
    reset.seq = packet.ack;
    Send(id, reset);
    return;
  }
  auto& flow = found->second;
  if (!flow.open) {
    // The flow opens where the sequence number is acknowledged. Another packet
    // is not answered: the flow may still open here.
    if (!packet.ack_flag || packet.ack != flow.iss + 1) {
      return;
    }
    flow.open = true;
    flow.sent = flow.iss + 1;
    flow.acked = flow.sent;
    events_.opened(id_, id);
  }
  flow.last_packet = loop_.Now();
  flow.echo = packet.echo;
  flow.acked = std::max(flow.acked, packet.ack);
  if (!packet.data.empty()) {
    HandleData(id, flow, packet);
  }
  if (packet.fin) {
    flow.closed = true;
    ++flow.expected;
    SendAck(id, flow);
    events_.closed(id_, id);
    flows_.erase(id);
  }
}

void Backend::HandleSyn(const FlowId& id, const Packet& packet) {
  if (!flows_.contains(id) && flows_.size() >= max_connections_) {
    events_.full(id_);
    return;
  }
  auto& flow = flows_[id];
  if (flow.open) {
    return;
  }
  const auto is_new = flow.serial == 0;
  flow.echo = packet.echo;
  if (!is_new) {
    auto answer = Packet();
    answer.syn = true;
    answer.ack_flag = true;
    answer.seq = flow.iss;
    answer.ack = flow.expected;
    answer.echo = flow.echo;
    Send(id, answer);
    return;
  }
  flow.serial = next_serial_++;
  flow.iss = static_cast<std::uint32_t>(random_() & 0x3fffffff);
  flow.expected = packet.seq + 1;
  SendSynAck(id, flow.serial, kFirstResend, 0);
}

void Backend::SendSynAck(const FlowId& id, std::uint64_t serial, Seconds again,
                         int resends) {
  const auto* const flow = FindFlow(id, serial);
  if (flow == nullptr || flow->open) {
    return;
  }
  if (resends > kMaxBackendResends) {
    flows_.erase(id);
    return;
  }
  auto answer = Packet();
  answer.syn = true;
  answer.ack_flag = true;
  answer.seq = flow->iss;
  answer.ack = flow->expected;
  answer.echo = flow->echo;
  Send(id, answer);
  loop_.After(again, [this, id, serial, again, resends] {
    SendSynAck(id, serial, std::min(2 * again, kLongestResend), resends + 1);
  });
}

void Backend::HandleData(const FlowId& id, Flow& flow, const Packet& packet) {
  if (packet.seq != flow.expected) {
    SendAck(id, flow);
    return;
  }
  flow.expected += static_cast<std::uint32_t>(packet.data.size());
  queue_.push_back({id, flow.serial, packet.data});
  loop_.After(kAckDelay, [this, id, serial = flow.serial] {
    const auto* const found = FindFlow(id, serial);
    if (found != nullptr) {
      SendAck(id, *found);
    }
  });
  RunNext();
}

void Backend::RunNext() {
  if (queue_.empty() || running_ == kSlots) {
    return;
  }
  const auto job = queue_.front();
  queue_.pop_front();
  ++running_;
  events_.ran(id_, job.request);
  const auto spread = std::uniform_real_distribution<double>(0.5, 1.5)(random_);
  loop_.After(kMeanWork * spread * slowness_, [this, job] {
    --running_;
    auto* const flow = FindFlow(job.flow, job.serial);
    if (flow != nullptr && flow->open) {
      const auto response = "done " + job.request;
      const auto seq = flow->sent;
      flow->sent += static_cast<std::uint32_t>(response.size());
      SendData(job.flow, job.serial, seq, response, kFirstResend, 0);
    }
    RunNext();
  });
}

void Backend::SendData(const FlowId& id, std::uint64_t serial,
                       std::uint32_t seq, const std::string& data,
                       Seconds again, int resends) {
  const auto* const flow = FindFlow(id, serial);
  const auto end = seq + static_cast<std::uint32_t>(data.size());
  if (flow == nullptr || flow->acked >= end) {
    return;
  }
  if (resends > kMaxBackendResends) {
    events_.closed(id_, id);
    flows_.erase(id);
    return;
  }
  auto packet = Packet();
  packet.ack_flag = true;
  packet.seq = seq;
  packet.ack = flow->expected;
  packet.echo = flow->echo;
  packet.data = data;
  Send(id, packet);
  loop_.After(again, [this, id, serial, seq, data, again, resends] {
    SendData(id, serial, seq, data, std::min(2 * again, kLongestResend),
             resends + 1);
  });
}

void Backend::SendAck(const FlowId& id, const Flow& flow) {
  auto packet = Packet();
  packet.ack_flag = true;
  packet.seq = flow.sent;
  packet.ack = flow.expected;
  packet.echo = flow.echo;
  Send(id, packet);
}

void Backend::CloseIdle() {
  for (auto entry = flows_.begin(); entry != flows_.end();) {
    const auto& [id, flow] = *entry;
    if (!flow.open || loop_.Now() - flow.last_packet < kIdleTime) {
      ++entry;
      continue;
    }
    auto packet = Packet();
    packet.ack_flag = true;
    packet.fin = true;
    packet.seq = flow.sent;
    packet.ack = flow.expected;
    packet.echo = flow.echo;
    Send(id, packet);
    events_.closed(id_, id);
    entry = flows_.erase(entry);
  }
}

auto Backend::FindFlow(const FlowId& id, std::uint64_t serial) -> Flow* {
  const auto found = flows_.find(id);
  return found == flows_.end() || found->second.serial != serial
             ? nullptr
             : &found->second;
}

void Backend::Send(const FlowId& id, Packet packet) {
  packet.from = id.route;
  packet.to = id.client;
  // Packets for a client go to its address, at the port of datagramAddress.
  socket_.Send({id.client.ip, kDatagramPort}, Encode(packet));
}

}  // namespace review
