#include "Measure/flow_fleet.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

using std::chrono::seconds;

constexpr std::size_t kInstanceCount = 7;
constexpr std::uint32_t kInstanceNetwork = 0x0A020000;
constexpr std::uint16_t kHttpPort = 8080;
constexpr std::uint16_t kPacketPort = 6080;

constexpr Duration kConfigLag = seconds(3);
constexpr Duration kTickLag = std::chrono::milliseconds(200);
constexpr Duration kWakeLag = seconds(1);
constexpr Duration kViewInterval = seconds(1);
constexpr Duration kSuspectAfter = seconds(1);
constexpr Duration kDeadAfter = seconds(3);
constexpr Duration kListLag = seconds(2);
constexpr Duration kFabricLag = seconds(2);
constexpr Duration kRestartTime = seconds(2);
constexpr Duration kRollingPause = seconds(5);

// How much later than others the observer notices something.
auto ObserverLag(std::size_t observer, std::size_t subject) -> Duration {
  const auto longest = static_cast<std::uint64_t>(kListLag.count());
  return Duration(
      static_cast<Duration::rep>(MixWords(observer, subject) % longest));
}

void Accumulate(FlowStats& total, const FlowStats& part) {
  total.records += part.records;
  total.evicted += part.evicted;
  total.relayed += part.relayed;
  total.unrecorded += part.unrecorded;
  total.refused += part.refused;
  total.conflicts += part.conflicts;
  total.hand_over_bytes += part.hand_over_bytes;
}

}  // namespace

template <FlowNode Node>
FlowFleet<Node>::FlowFleet(FlowWorld& world, Random& random, LatePacket late,
                           TimePoint now)
    : world_(world),
      random_(random),
      late_(std::move(late)),
      cut_since_(kDataCentreCount, TimePoint::min()),
      cut_until_(kDataCentreCount, TimePoint::min()) {
  for (std::size_t i = 0; i < kInstanceCount; ++i) {
    AddInstance(i % kDataCentreCount, now);
  }
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    TakeView(i, now);
  }
}

template <FlowNode Node>
void FlowFleet<Node>::AddInstance(std::size_t data_centre, TimePoint now) {
  const auto number = instances_.size();
  auto instance = Instance();
  instance.data_centre = data_centre;
  instance.member.name = "instance-" + std::to_string(number);
  instance.member.id = IdFromName<InstanceId>(instance.member.name);
  instance.member.data_centre = DataCentreAt(data_centre);
  const auto ip =
      Ipv4Address{kInstanceNetwork + static_cast<std::uint32_t>(number)};
  instance.member.http_address = {ip, Port(kHttpPort)};
  instance.member.packet_address = {ip, Port(kPacketPort)};
  Start(instance, now);
  instances_.push_back(std::move(instance));
}

template <FlowNode Node>
void FlowFleet<Node>::Start(Instance& instance, TimePoint now) {
  instance.member.started = now;
  instance.node = std::make_unique<Node>(instance.member.id, now);
  instance.up = true;
  instance.leaving = false;
  instance.unplanned = false;
  instance.paused_since = TimePoint::min();
  instance.paused_until = TimePoint::min();
  instance.next_view = now;
  instance.config = world_.config();
  instance.pending.clear();
  instance.counted_bytes = 0;
}

template <FlowNode Node>
auto FlowFleet<Node>::RandomDelay(Duration longest) -> Duration {
  const auto share = random_.Uniform01();
  return Duration(
      static_cast<Duration::rep>(share * static_cast<double>(longest.count())));
}

template <FlowNode Node>
auto FlowFleet<Node>::IsPaused(const Instance& instance, TimePoint now) const
    -> bool {
  return now < instance.paused_until;
}

template <FlowNode Node>
auto FlowFleet<Node>::SideOf(std::size_t data_centre, TimePoint now) const
    -> std::size_t {
  return now < cut_until_[data_centre] ? data_centre + 1 : 0;
}

template <FlowNode Node>
auto FlowFleet<Node>::Connected(std::size_t left, std::size_t right,
                                TimePoint now) const -> bool {
  return left == right || SideOf(left, now) == SideOf(right, now);
}

template <FlowNode Node>
auto FlowFleet<Node>::IsPartitioned(TimePoint now) const -> bool {
  return std::any_of(cut_until_.begin(), cut_until_.end(),
                     [now](TimePoint until) { return now < until; });
}

template <FlowNode Node>
auto FlowFleet<Node>::IndexOf(InstanceId id) const
    -> std::optional<std::size_t> {
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].member.id == id) {
      return i;
    }
  }
  return std::nullopt;
}

// The running instance nearest to the wanted number.
template <FlowNode Node>
auto FlowFleet<Node>::Running(std::size_t wanted) const -> std::size_t {
  for (std::size_t step = 0; step < instances_.size(); ++step) {
    const auto index = (wanted + step) % instances_.size();
    if (instances_[index].up && !instances_[index].leaving) {
      return index;
    }
  }
  return 0;
}

template <FlowNode Node>
auto FlowFleet<Node>::Send(const FlowPacket& packet, std::size_t data_centre,
                           TimePoint now) -> PacketOutcome {
  auto entries = std::vector<std::size_t>();
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto& instance = instances_[i];
    const auto listed = instance.up || now < instance.down_since + kFabricLag;
    if (listed && Connected(data_centre, instance.data_centre, now)) {
      entries.push_back(i);
    }
  }
  if (entries.empty()) {
    return {};
  }
  return Route(entries[random_.Below(entries.size())], packet, now);
}

template <FlowNode Node>
auto FlowFleet<Node>::Route(std::size_t index, const FlowPacket& packet,
                            TimePoint now) -> PacketOutcome {
  auto& instance = instances_[index];
  if (!instance.up) {
    return {};
  }
  if (IsPaused(instance, now)) {
    instance.held.push_back(packet);
    return {};
  }
  const auto action = instance.node->Decide(packet, now);
  if (const auto* forward = std::get_if<ForwardToEndpoint>(&action)) {
    auto outcome = PacketOutcome();
    outcome.forward = *forward;
    outcome.hops = packet.relay.hops;
    for (std::size_t i = 0; i < kDataCentreCount; ++i) {
      if (DataCentreAt(i) == world_.DataCentreOf(forward->endpoint)) {
        outcome.reached = Connected(instance.data_centre, i, now);
      }
    }
    outcome.current = IsCurrent(instance, now);
    return outcome;
  }
  const auto* relay = std::get_if<RelayToInstance>(&action);
  if (relay == nullptr) {
    return {};
  }
  const auto next = IndexOf(relay->instance);
  if (!next ||
      !Connected(instance.data_centre, instances_[*next].data_centre, now)) {
    return {};
  }
  auto relayed = packet;
  relayed.relay = relay->mark;
  auto outcome = Route(*next, relayed, now);
  outcome.current = outcome.current && IsCurrent(instance, now);
  return outcome;
}

template <FlowNode Node>
auto FlowFleet<Node>::IsCurrent(const Instance& instance, TimePoint now) const
    -> bool {
  const auto paused = now < instance.paused_until + kConfigLag + kTickLag;
  const auto cut =
      now < cut_until_[instance.data_centre] + kConfigLag + kTickLag;
  return !paused && !cut;
}

template <FlowNode Node>
void FlowFleet<Node>::Apply(const FlowEvent& event, TimePoint now) {
  const auto target = Running(event.target);
  switch (event.kind) {
    case FlowEventKind::kDrain:
      world_.Drain(event.target, now);
      return Publish(now);
    case FlowEventKind::kAdd:
      world_.Add(now);
      return Publish(now);
    case FlowEventKind::kReplace:
      world_.Drain(event.target, now);
      world_.Add(now);
      return Publish(now);
    case FlowEventKind::kStop:
      return Stop(target, now);
    case FlowEventKind::kKill:
      return Kill(target, now);
    case FlowEventKind::kJoin:
      return AddInstance(event.target % kDataCentreCount, now);
    case FlowEventKind::kRolling:
      rollings_.push_back({event.target, instances_.size(), now});
      return;
    case FlowEventKind::kPause:
      instances_[target].paused_since = now;
      instances_[target].paused_until = now + event.length;
      return;
    case FlowEventKind::kPartition:
      cut_since_[event.target % kDataCentreCount] = now;
      cut_until_[event.target % kDataCentreCount] = now + event.length;
      return;
  }
}

template <FlowNode Node>
void FlowFleet<Node>::Publish(TimePoint now) {
  const auto config = world_.Publish(now);
  for (auto& instance : instances_) {
    instance.pending.push_back({now + RandomDelay(kConfigLag), config});
  }
}

template <FlowNode Node>
void FlowFleet<Node>::Stop(std::size_t index, TimePoint now) {
  auto& instance = instances_[index];
  if (!instance.up || instance.leaving) {
    return;
  }
  instance.leaving = true;
  Queue(index, instance.node->BeginLeave(now));
}

template <FlowNode Node>
void FlowFleet<Node>::Kill(std::size_t index, TimePoint now) {
  auto& instance = instances_[index];
  if (homes_before_deaths_ == nullptr) {
    homes_before_deaths_ = std::make_unique<HomeTable>(
        HomeMembersOf(instance.view, *world_.config(), false));
  }
  Accumulate(stopped_stats_, instance.node->stats());
  killed_.push_back(instance.member.id);
  instance.up = false;
  instance.unplanned = true;
  instance.down_since = now;
  instance.held.clear();
}

template <FlowNode Node>
void FlowFleet<Node>::Tick(TimePoint now) {
  DeliverMessages(now);
  AdvanceRolling(now);
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    if (instances_[i].up && !IsPaused(instances_[i], now)) {
      TickInstance(i, now);
    }
  }
}

template <FlowNode Node>
void FlowFleet<Node>::TickInstance(std::size_t index, TimePoint now) {
  auto& instance = instances_[index];
  auto held = std::exchange(instance.held, {});
  for (const auto& packet : held) {
    late_(packet, Route(index, packet, now), now);
  }
  TakeConfigs(instance, now);
  TakeView(index, now);
  instance.node->Update(instance.config, instance.view, now);
  Queue(index, instance.node->OnTick(now));
  if (instance.leaving && instance.node->LeaveDone(now)) {
    auto stats = instance.node->stats();
    stats.records = 0;
    Accumulate(stopped_stats_, stats);
    instance.up = false;
    instance.down_since = now;
  }
}

template <FlowNode Node>
void FlowFleet<Node>::TakeConfigs(Instance& instance, TimePoint now) {
  if (SideOf(instance.data_centre, now) != 0) {
    return;  // The platform is out of reach.
  }
  const auto healed = cut_until_[instance.data_centre];
  for (auto& pending : instance.pending) {
    if (pending.due < healed) {
      pending.due = healed + RandomDelay(kConfigLag);
    }
    if (pending.due < instance.paused_until) {
      pending.due = instance.paused_until + RandomDelay(kWakeLag);
    }
    if (pending.due <= now &&
        pending.config->version > instance.config->version) {
      instance.config = pending.config;
    }
  }
  std::erase_if(instance.pending, [now](const PendingConfig& pending) {
    return pending.due <= now;
  });
}

// The state in which the observer sees an instance, by how long it has been
// silent. The thresholds differ between observers.
template <FlowNode Node>
auto FlowFleet<Node>::StateSeen(std::size_t observer, std::size_t index,
                                TimePoint now) const -> MemberState {
  const auto& instance = instances_[index];
  if (observer == index) {
    return instance.leaving ? MemberState::kLeaving : MemberState::kAlive;
  }
  if (!instance.up && !instance.unplanned) {
    return MemberState::kDead;
  }
  auto silent = Duration(0);
  if (!instance.up) {
    silent = now - instance.down_since;
  } else if (IsPaused(instance, now)) {
    silent = now - instance.paused_since;
  }
  const auto lag = ObserverLag(observer, index);
  if (silent > kDeadAfter + lag) {
    return MemberState::kDead;
  }
  if (silent > kSuspectAfter + lag) {
    return MemberState::kSuspect;
  }
  return instance.leaving ? MemberState::kLeaving : MemberState::kAlive;
}

template <FlowNode Node>
auto FlowFleet<Node>::IsCutLongEnough(std::size_t observer,
                                      std::size_t data_centre,
                                      TimePoint now) const -> bool {
  const auto own = instances_[observer].data_centre;
  if (Connected(own, data_centre, now)) {
    return false;
  }
  const auto since = std::max(cut_since_[own], cut_since_[data_centre]);
  const auto lag = ObserverLag(observer, data_centre);
  return now - since > kDeadAfter + lag;
}

template <FlowNode Node>
void FlowFleet<Node>::TakeView(std::size_t index, TimePoint now) {
  auto& observer = instances_[index];
  auto heard = false;
  for (std::size_t i = 0; i < instances_.size(); ++i) {
    const auto& peer = instances_[i];
    heard = heard || (i != index && peer.up && !IsPaused(peer, now) &&
                      Connected(observer.data_centre, peer.data_centre, now));
  }
  if (now >= observer.next_view) {
    observer.next_view = now + RandomDelay(kViewInterval);
    observer.view.self = observer.member.id;
    observer.view.data_centre = observer.member.data_centre;
    observer.view.members.clear();
    observer.view.unreachable.clear();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      auto member = instances_[i].member;
      member.state = StateSeen(index, i, now);
      const auto cut = IsCutLongEnough(index, instances_[i].data_centre, now);
      member.state = cut ? MemberState::kDead : member.state;
      const auto listed = i == index || now >= member.started + kListLag ||
                          member.started == observer.member.started ||
                          observer.member.started > member.started;
      if (listed && member.state != MemberState::kDead) {
        observer.view.members.push_back(member);
      }
    }
    std::sort(observer.view.members.begin(), observer.view.members.end(),
              [](const Member& a, const Member& b) { return a.id < b.id; });
    for (std::size_t i = 0; i < kDataCentreCount; ++i) {
      if (IsCutLongEnough(index, i, now)) {
        observer.view.unreachable.push_back(DataCentreAt(i));
      }
    }
  }
  if (heard || observer.view.members.size() <= 1) {
    observer.view.refreshed = now;
  }
}

template <FlowNode Node>
void FlowFleet<Node>::Queue(std::size_t from, FlowActions actions) {
  for (auto& action : actions) {
    messages_.push_back({from, std::move(action)});
  }
}

template <FlowNode Node>
void FlowFleet<Node>::DeliverMessages(TimePoint now) {
  const auto messages = std::exchange(messages_, {});
  for (const auto& message : messages) {
    const auto to = IndexOf(message.sent.to);
    if (!to || !instances_[*to].up || IsPaused(instances_[*to], now)) {
      continue;
    }
    const auto& sender = instances_[message.from];
    if (Connected(sender.data_centre, instances_[*to].data_centre, now)) {
      Queue(*to, instances_[*to].node->OnMessage(sender.member.id,
                                                 message.sent.message, now));
    }
  }
}

template <FlowNode Node>
void FlowFleet<Node>::AdvanceRolling(TimePoint now) {
  for (auto& rolling : rollings_) {
    auto& instance = instances_[rolling.next % kInstanceCount];
    if (now < rolling.ready) {
      continue;
    }
    if (!instance.up && instance.unplanned) {
      --rolling.left;
      ++rolling.next;
    } else if (instance.up && !instance.leaving) {
      Stop(rolling.next % kInstanceCount, now);
    } else if (!instance.up && now >= instance.down_since + kRestartTime) {
      Start(instance, now);
      rolling.ready = now + kRollingPause;
      --rolling.left;
      ++rolling.next;
    }
  }
  std::erase_if(rollings_, [](const Rolling& r) { return r.left == 0; });
}

template <FlowNode Node>
auto FlowFleet<Node>::LostBothHomes(FlowKey flow) const -> bool {
  if (homes_before_deaths_ == nullptr) {
    return false;
  }
  const auto homes = homes_before_deaths_->HomesOf(flow);
  const auto died = [this](const HomeMember* home) {
    return home != nullptr &&
           std::find(killed_.begin(), killed_.end(), home->id) != killed_.end();
  };
  return died(homes.first) && died(homes.second);
}

template <FlowNode Node>
auto FlowFleet<Node>::stats() const -> FlowStats {
  auto total = stopped_stats_;
  for (const auto& instance : instances_) {
    if (instance.up) {
      const auto stats = instance.node->stats();
      Accumulate(total, stats);
      total.unsettled_buckets = stats.unsettled_buckets;
      total.total_buckets = stats.total_buckets;
      total.bytes_per_record = stats.bytes_per_record;
    }
  }
  return total;
}

template <FlowNode Node>
auto FlowFleet<Node>::TakeMostControlBytes() -> std::size_t {
  auto most = std::size_t{0};
  for (auto& instance : instances_) {
    const auto bytes = instance.node->stats().hand_over_bytes;
    most = std::max(most, bytes - instance.counted_bytes);
    instance.counted_bytes = bytes;
  }
  return most;
}

template class FlowFleet<RouterNode>;
template class FlowFleet<RivalNode<RivalKind::kPureHash>>;
template class FlowFleet<RivalNode<RivalKind::kLocalTable>>;
template class FlowFleet<RivalNode<RivalKind::kReplicatedTable>>;

}  // namespace hemlockwick
