#include "client.h"

#include <algorithm>
#include <utility>

#include "backend.h"
#include "fleet.h"

namespace review {

namespace {

constexpr Seconds kSecondCopy = 0.2;
constexpr Seconds kThirdCopy = 0.6;
constexpr Seconds kOpeningTime = 1.4;
constexpr int kFinResends = 4;

}  // namespace

auto ToText(FlowEnd end) -> std::string {
  switch (end) {
    case FlowEnd::kDone:
      return "done";
    case FlowEnd::kNeverOpened:
      return "never opened";
    case FlowEnd::kResetBySystem:
      return "reset by the system";
    case FlowEnd::kResetByBackend:
      return "reset by a backend";
    case FlowEnd::kDeadline:
      return "not answered in time";
  }
  return "unknown";
}

ClientHost::ClientHost(Loop& loop, Ip ip, std::uint64_t seed,
                       std::function<bool(Ip)> is_machine,
                       const ClientEvents& events)
    : loop_(loop),
      ip_(ip),
      is_machine_(std::move(is_machine)),
      events_(events),
      random_(seed),
      socket_(loop, {ip, kDatagramPort},
              [this](std::string_view bytes, const Address& sender) {
                Receive(bytes, sender);
              }) {}

void ClientHost::Open(const FlowPlan& plan, std::function<void(FlowEnd)> then) {
  const auto id = FlowId{{ip_, next_port_++}, plan.route};
  const auto flow = std::make_shared<Flow>();
  flow->plan = plan;
  flow->then = std::move(then);
  flow->seq = static_cast<std::uint32_t>(random_() & 0x3fffffff);
  flows_[id] = flow;
  SendSyn(id, flow, 0);
  const auto later = [&](Seconds delay, auto action) {
    loop_.After(delay, [this, id, flow, action] {
      if (IsCurrent(id, flow) && flow->state == State::kOpening) {
        action();
      }
    });
  };
  later(kSecondCopy, [this, id, flow] { SendSyn(id, flow, 1); });
  later(kThirdCopy, [this, id, flow] { SendSyn(id, flow, 2); });
  later(kOpeningTime,
        [this, id, flow] { End(id, flow, FlowEnd::kNeverOpened); });
}

void ClientHost::SendSyn(const FlowId& id, const FlowPtr& flow,
                         std::uint32_t copy) {
  auto packet = Packet();
  packet.syn = true;
  packet.seq = flow->seq;
  packet.ack = copy;
  packet.from = id.client;
  packet.to = id.route;
  events_.send(id, flow->plan.zone, Encode(packet), socket_);
}

void ClientHost::Receive(std::string_view bytes, const Address& sender) {
  const auto packet = Decode(bytes);
  if (!packet) {
    return;
  }
  const auto id = FlowId{packet->to, packet->from};
  const auto is_from_machine = is_machine_(sender.ip);
  const auto is_system_reset = is_from_machine && packet->rst &&
                               packet->sum == 0 && packet->data.empty();
  if (!is_system_reset && (is_from_machine || !IsIntact(*packet))) {
    events_.foreign(id);
    return;
  }
  const auto found = flows_.find(id);
  if (found == flows_.end()) {
    return;
  }
  const auto flow = found->second;
  if (is_from_machine) {
    FromMachine(id, flow, *packet, sender.ip);
  } else if (!events_.is_lost()) {
    FromBackend(id, flow, *packet);
  }
}

void ClientHost::FromMachine(const FlowId& id, const FlowPtr& flow,
                             const Packet& packet, Ip machine) {
  if (flow->state == State::kOpening) {
    End(id, flow, FlowEnd::kNeverOpened);
    return;
  }
  if (flow->state == State::kClosing) {
    return;
  }
  events_.reset(id, machine, packet.seq, flow->ack, flow->request);
  End(id, flow, FlowEnd::kResetBySystem);
}

void ClientHost::FromBackend(const FlowId& id, const FlowPtr& flow,
                             const Packet& packet) {
  if (packet.rst) {
    End(id, flow,
        flow->state == State::kOpening ? FlowEnd::kNeverOpened
                                       : FlowEnd::kResetByBackend);
    return;
  }
  // Each end places in its packets the last `echo` that it received.
  flow->echo = packet.echo;
  if (packet.syn) {
    if (flow->state == State::kOpening) {
      flow->state = State::kOpen;
      flow->peer = packet.seq;
      flow->ack = packet.seq + 1;
      ++flow->seq;
      flow->acked = flow->seq;
      NextRequest(id, flow);
    } else if (packet.seq != flow->peer) {
      events_.second_syn_ack(id);
    } else {
      Send(id, *flow, Packet());
    }
    return;
  }
  flow->acked = std::max(flow->acked, packet.ack);
  if (packet.data.empty()) {
    return;
  }
  if (packet.seq == flow->ack && packet.data == "done " + flow->request) {
    flow->ack += static_cast<std::uint32_t>(packet.data.size());
    events_.answered(id, flow->request);
    flow->seq += static_cast<std::uint32_t>(flow->request.size());
    flow->request.clear();
    ++flow->done;
    Send(id, *flow, Packet());
    if (flow->state != State::kOpen) {
      return;
    }
    if (flow->done == flow->plan.requests || loop_.Now() >= flow->plan.until) {
      Close(id, flow, FlowEnd::kDone);
      return;
    }
    const auto pause =
        flow->plan.pause *
        std::uniform_real_distribution<double>(0.5, 1.5)(random_);
    loop_.After(pause, [this, id, flow] {
      if (IsCurrent(id, flow) && flow->state == State::kOpen) {
        NextRequest(id, flow);
      }
    });
    return;
  }
  Send(id, *flow, Packet());
}

void ClientHost::NextRequest(const FlowId& id, const FlowPtr& flow) {
  flow->request = flow->plan.name + " " + ToText(id.client) + " " +
                  std::to_string(flow->done);
  events_.sent(id, flow->request);
  SendRequest(id, flow, flow->done, kFirstResend);
  loop_.After(flow->plan.deadline, [this, id, flow, number = flow->done] {
    if (IsCurrent(id, flow) && flow->done == number) {
      Close(id, flow, FlowEnd::kDeadline);
    }
  });
}

void ClientHost::SendRequest(const FlowId& id, const FlowPtr& flow, int number,
                             Seconds again) {
  if (!IsCurrent(id, flow) || flow->state != State::kOpen ||
      flow->done != number) {
    return;
  }
  const auto end = flow->seq + static_cast<std::uint32_t>(flow->request.size());
  if (flow->acked < end) {
    auto packet = Packet();
    packet.data = flow->request;
    Send(id, *flow, packet);
    loop_.After(again, [this, id, flow, number, again] {
      SendRequest(id, flow, number, std::min(2 * again, kLongestResend));
    });
  }
}

void ClientHost::Send(const FlowId& id, const Flow& flow, Packet packet) {
  packet.ack_flag = true;
  packet.from = id.client;
  packet.to = id.route;
  packet.seq = flow.seq;
  packet.ack = flow.ack;
  packet.echo = flow.echo;
  events_.send(id, flow.plan.zone, Encode(packet), socket_);
}

void ClientHost::Close(const FlowId& id, const FlowPtr& flow, FlowEnd end) {
  flow->state = State::kClosing;
  SendFin(id, flow, kFirstResend, kFinResends);
  events_.ended(id, end);
  std::exchange(flow->then, nullptr)(end);
}

void ClientHost::SendFin(const FlowId& id, const FlowPtr& flow, Seconds again,
                         int left) {
  if (!IsCurrent(id, flow)) {
    return;
  }
  const auto is_acked = flow->acked > flow->seq + flow->request.size();
  if (is_acked || left == 0) {
    flows_.erase(id);
    return;
  }
  auto packet = Packet();
  packet.fin = true;
  Send(id, *flow, packet);
  loop_.After(again, [this, id, flow, again, left] {
    SendFin(id, flow, std::min(2 * again, kLongestResend), left - 1);
  });
}

void ClientHost::End(const FlowId& id, const FlowPtr& flow, FlowEnd end) {
  flows_.erase(id);
  events_.ended(id, end);
  if (flow->then) {
    std::exchange(flow->then, nullptr)(end);
  }
}

auto ClientHost::IsCurrent(const FlowId& id, const FlowPtr& flow) const
    -> bool {
  const auto found = flows_.find(id);
  return found != flows_.end() && found->second == flow;
}

}  // namespace review
