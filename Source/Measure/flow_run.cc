#include "Measure/flow_run.h"

#include <algorithm>
#include <map>
#include <string>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(24 * 365 * 56)};
constexpr Duration kTick = milliseconds(200);
constexpr Duration kOpeningTime = seconds(60);
constexpr Duration kIdleInterval = minutes(15);
constexpr Duration kBusyInterval = seconds(10);
constexpr Duration kShortLife = seconds(60);
constexpr Duration kShortInterval = seconds(5);
constexpr Duration kFirstRetry = seconds(1);
constexpr std::uint32_t kMaxBackoff = 3;
constexpr Duration kStallLimit = minutes(1);
constexpr Duration kDrainBound = seconds(3);
constexpr Duration kControlWindow = seconds(10);

constexpr std::size_t kShortPercent = 20;
constexpr std::size_t kBusyPercent = 10;
constexpr std::size_t kPercent = 100;

auto ServiceSizes() -> std::vector<std::size_t> { return {14, 4}; }

}  // namespace

template <FlowNode Node>
FlowRun<Node>::FlowRun(const FlowSchedule& schedule, std::uint64_t seed)
    : schedule_(schedule),
      random_(seed),
      world_(ServiceSizes(), kStart),
      fleet_(
          world_, random_,
          [this](const FlowPacket& packet, const PacketOutcome& outcome,
                 TimePoint now) { CheckLate(packet, outcome, now); },
          kStart),
      next_key_(MixWords(seed, 0)) {}

template <FlowNode Node>
void FlowRun<Node>::CreateFlows() {
  const auto sizes = ServiceSizes();
  for (std::size_t service = 0; service < sizes.size(); ++service) {
    const auto count = sizes[service] * schedule_.flows_per_endpoint;
    for (std::size_t i = 0; i < count; ++i) {
      auto flow = Flow();
      flow.service = static_cast<std::uint16_t>(service);
      flow.data_centre =
          static_cast<std::uint8_t>(random_.Below(kDataCentreCount));
      const auto kind = random_.Below(kPercent);
      flow.life = kind < kShortPercent                  ? Life::kShort
                  : kind < kShortPercent + kBusyPercent ? Life::kBusy
                                                        : Life::kIdle;
      const auto opens =
          kStart +
          Duration{static_cast<Duration::rep>(
              random_.Uniform01() * static_cast<double>(kOpeningTime.count()))};
      Reopen(flow, opens);
      by_key_[flow.key] = static_cast<std::uint32_t>(flows_.size());
      due_.push({opens, static_cast<std::uint32_t>(flows_.size())});
      flows_.push_back(flow);
    }
  }
}

template <FlowNode Node>
void FlowRun<Node>::Reopen(Flow& flow, TimePoint now) {
  flow.key = FlowKey{MixWords(1, next_key_++)};
  flow.owner = EndpointId();
  flow.retries = 0;
  flow.ends = flow.life == Life::kShort ? now + random_.Exponential(kShortLife)
                                        : TimePoint::max();
}

template <FlowNode Node>
auto FlowRun<Node>::Packet(const Flow& flow, TimePoint now) const
    -> FlowPacket {
  const auto& config = *world_.config();
  const auto id =
      IdFromName<ServiceId>("service-" + std::to_string(flow.service));
  auto packet = FlowPacket();
  packet.flow = flow.key;
  packet.destination = FindService(config, id)->address;
  packet.opens = flow.owner == EndpointId();
  packet.closes = !packet.opens && now >= flow.ends;
  return packet;
}

template <FlowNode Node>
void FlowRun<Node>::SendDue(Due due) {
  auto& flow = flows_[due.flow];
  const auto packet = Packet(flow, due.at);
  const auto outcome = fleet_.Send(packet, flow.data_centre, due.at);
  ++result_.packets;
  if (outcome.forward && outcome.reached) {
    result_.extra_hops += outcome.hops;
    OnForwarded(flow, outcome, due.at);
  } else {
    if (outcome.forward && !packet.opens &&
        outcome.forward->endpoint != flow.owner) {
      Break(flow, due.at);
    }
    OnLost(flow, due.at);
  }
  const auto closed =
      packet.closes && outcome.forward && flow.owner != EndpointId();
  if (closed) {
    by_key_.erase(flow.key);
    Reopen(flow, due.at);
    by_key_[flow.key] = due.flow;
  }
  due_.push({NextPacket(flow, due.at), due.flow});
}

template <FlowNode Node>
auto FlowRun<Node>::NextPacket(const Flow& flow, TimePoint now) -> TimePoint {
  if (flow.retries > 0) {
    const auto backoff = std::min(flow.retries - 1, kMaxBackoff);
    return now + kFirstRetry * (1U << backoff);
  }
  if (flow.owner == EndpointId()) {
    return now + random_.Exponential(kFirstRetry);
  }
  switch (flow.life) {
    case Life::kShort:
      return now + random_.Exponential(kShortInterval);
    case Life::kBusy:
      return now + random_.Exponential(kBusyInterval);
    case Life::kIdle:
      break;
  }
  return now + kIdleInterval;
}

template <FlowNode Node>
void FlowRun<Node>::OnForwarded(Flow& flow, const PacketOutcome& outcome,
                                TimePoint now) {
  flow.retries = 0;
  const auto service =
      IdFromName<ServiceId>("service-" + std::to_string(flow.service));
  if (world_.IsForeign(outcome.forward->address, service)) {
    ++result_.foreign;
  }
  if (flow.owner == EndpointId()) {
    flow.owner = outcome.forward->endpoint;
    ++result_.opened;
    CheckOpening(outcome, now);
  } else if (flow.owner != outcome.forward->endpoint) {
    Break(flow, now);
  }
}

template <FlowNode Node>
void FlowRun<Node>::CheckOpening(const PacketOutcome& outcome, TimePoint now) {
  const auto left = world_.LeavingSince(outcome.forward->endpoint);
  if (outcome.current && left != TimePoint::max() && now > left + kDrainBound) {
    ++result_.late_openings;
  }
}

template <FlowNode Node>
void FlowRun<Node>::OnLost(Flow& flow, TimePoint now) {
  if (flow.owner == EndpointId()) {
    ++result_.delayed_syns;
  }
  if (flow.retries == 0 || fleet_.IsPartitioned(now)) {
    flow.lost_since = now;
  }
  ++flow.retries;
  if (now > flow.lost_since + kStallLimit) {
    ++result_.stalled;
    Break(flow, now);
  }
}

template <FlowNode Node>
void FlowRun<Node>::Break(Flow& flow, TimePoint now) {
  ++result_.broken;
  if (fleet_.LostBothHomes(flow.key)) {
    ++result_.excused;
  }
  const auto index = by_key_[flow.key];
  by_key_.erase(flow.key);
  Reopen(flow, now);
  by_key_[flow.key] = index;
}

// A suspended instance sent a packet late. It may not reach another endpoint
// than the flow's, and may not move a flow that has opened elsewhere.
template <FlowNode Node>
void FlowRun<Node>::CheckLate(const FlowPacket& packet,
                              const PacketOutcome& outcome, TimePoint now) {
  const auto found = by_key_.find(packet.flow);
  if (found == by_key_.end() || !outcome.forward) {
    return;
  }
  auto& flow = flows_[found->second];
  if (!packet.opens && flow.owner != outcome.forward->endpoint) {
    Break(flow, now);
  }
}

template <FlowNode Node>
auto FlowRun<Node>::Imbalance() const -> double {
  auto counts = std::map<EndpointId, std::size_t>();
  auto total = std::size_t{0};
  for (const auto& flow : flows_) {
    if (flow.service == 0 && flow.owner != EndpointId()) {
      ++counts[flow.owner];
      ++total;
    }
  }
  auto most = std::size_t{0};
  for (const auto& [endpoint, count] : counts) {
    most = std::max(most, count);
  }
  const auto endpoints = static_cast<double>(ServiceSizes().front());
  return total == 0 ? 0
                    : static_cast<double>(most) * endpoints /
                          static_cast<double>(total);
}

template <FlowNode Node>
void FlowRun<Node>::MeasureControl(TimePoint now) {
  if ((now - kStart) % kControlWindow != Duration(0)) {
    return;
  }
  const auto bytes = static_cast<double>(fleet_.TakeMostControlBytes());
  const auto rate =
      bytes / std::chrono::duration<double>(kControlWindow).count();
  result_.control_bytes_per_second =
      std::max(result_.control_bytes_per_second, rate);
}

template <FlowNode Node>
auto FlowRun<Node>::Run() -> FlowRunResult {
  CreateFlows();
  auto next_event = schedule_.events.begin();
  const auto end = kStart + schedule_.duration;
  for (auto now = kStart; now < end; now += kTick) {
    while (next_event != schedule_.events.end() &&
           kStart + next_event->at <= now) {
      if (next_event == schedule_.events.begin()) {
        result_.imbalance = Imbalance();
      }
      fleet_.Apply(*next_event, now);
      ++next_event;
    }
    fleet_.Tick(now);
    MeasureControl(now);
    while (!due_.empty() && due_.top().at < now + kTick) {
      const auto due = due_.top();
      due_.pop();
      SendDue(due);
    }
  }
  if (schedule_.events.empty()) {
    result_.imbalance = Imbalance();
  }
  result_.stats = fleet_.stats();
  result_.openings_per_second =
      static_cast<double>(result_.opened) /
      std::chrono::duration<double>{schedule_.duration}.count();
  return result_;
}

template class FlowRun<RouterNode>;
template class FlowRun<RivalNode<RivalKind::kPureHash>>;
template class FlowRun<RivalNode<RivalKind::kLocalTable>>;
template class FlowRun<RivalNode<RivalKind::kReplicatedTable>>;

}  // namespace hemlockwick
