#include "Measure/fleet_simulation.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// Start of the virtual clock.
constexpr TimePoint kSimulationStart = FromUnixMillis(1'700'000'000'000);

// One-way times of a message within a data centre, to another one, and of a
// call to the platform. Each varies up to twice.
constexpr Duration kLocalLatency = std::chrono::microseconds(200);
constexpr Duration kFarLatency = std::chrono::microseconds(500);
constexpr Duration kPlatformLatency = std::chrono::milliseconds(2);

// How long the platform's list lags behind a start or stop.

constexpr std::uint32_t kFirstIp = 0x0A000001;  // 10.0.0.1
constexpr std::uint16_t kHttpPort = 6080;
constexpr std::uint16_t kPacketPort = 6081;

// Instances start within this time of each other.
constexpr Duration kStartSpread = std::chrono::milliseconds(400);

// The death of the process before counts for this long after a start.
constexpr Duration kDeathMargin = std::chrono::seconds(6);

auto DataCentreName(std::size_t number) -> std::string {
  return "dc-" + std::to_string(number);
}

}  // namespace

FleetSimulation::FleetSimulation(const FleetShape& shape, std::uint64_t seed)
    : random_(seed), loss_(shape.loss), now_(kSimulationStart) {
  for (std::size_t dc = 0; dc < shape.instances.size(); ++dc) {
    for (std::size_t count = 0; count < shape.instances[dc]; ++count) {
      const auto number = instances_.size();
      auto instance = Instance();
      instance.data_centre = dc;
      auto& settings = instance.settings;
      settings.name = DataCentreName(dc) + "-" + std::to_string(count);
      settings.data_centre = DataCentreName(dc);
      const auto ip =
          Ipv4Address(kFirstIp + static_cast<std::uint32_t>(number));
      settings.http_address = SocketAddress{ip, Port(kHttpPort)};
      settings.packet_address = SocketAddress{ip, Port(kPacketPort)};
      by_address_.emplace(settings.http_address, number);
      by_name_.emplace(settings.name, number);
      instances_.push_back(std::move(instance));
    }
  }
  WriteInstanceList();
  for (std::size_t at = 0; at < instances_.size(); ++at) {
    Start(at);
  }
}

void FleetSimulation::WriteInstanceList() {
  auto list = std::vector<ListedInstance>();
  for (const auto& instance : instances_) {
    const auto& settings = instance.settings;
    list.push_back(ListedInstance{settings.name, settings.data_centre,
                                  settings.http_address,
                                  settings.packet_address, false});
  }
  platform_.Write(std::string(kInstanceListKey), EncodeInstanceList(list));
}

void FleetSimulation::Publish(const std::vector<PublishedValue>& values) {
  platform_.Write(values);
  WakeWatches();
}

void FleetSimulation::Start(std::size_t at) {
  auto& instance = instances_[at];
  instance.settings.random_seed = random_.Below(UINT64_MAX);
  instance.events = std::make_unique<EventLog>(instance.settings.name);
  instance.node =
      std::make_unique<FleetNode>(instance.settings, *instance.events, now_);
  ++instance.generation;
  instance.started = now_;
  instance.in_force = Version();
  instance.checked = HlcStamp();
  instance.paused_until = now_;
  instance.next_tick = TimePoint::max();
  instance.peers_at_start = Version();
  auto lowest = std::optional<Version>();
  for (std::size_t peer = 0; peer < instances_.size(); ++peer) {
    if (peer != at && IsRunning(peer) && CanReach(at, peer)) {
      lowest = std::min(lowest.value_or(InForce(peer)), InForce(peer));
    }
  }
  instance.peers_at_start = lowest.value_or(Version());
  const auto spread = now_ == kSimulationStart
                          ? Duration(random_.Below(kStartSpread.count()))
                          : Duration(0);
  Schedule(at, now_ + spread,
           [](FleetNode& node, TimePoint now) { return node.OnTick(now); });
}

void FleetSimulation::Kill(std::size_t at) {
  instances_[at].node.reset();
  ++instances_[at].generation;
}

void FleetSimulation::Leave(std::size_t at) {
  Schedule(at, now_,
           [](FleetNode& node, TimePoint now) { return node.BeginLeave(now); });
}

void FleetSimulation::Pause(std::size_t at, Duration time) {
  instances_[at].paused_until = now_ + time;
}

void FleetSimulation::Cut(std::size_t left, std::size_t right) {
  cuts_.insert(std::minmax(left, right));
}

void FleetSimulation::Join(std::size_t left, std::size_t right) {
  cuts_.erase(std::minmax(left, right));
}

void FleetSimulation::CutPlatform(std::size_t data_centre) {
  platform_cuts_.insert(data_centre);
}

void FleetSimulation::JoinPlatform(std::size_t data_centre) {
  platform_cuts_.erase(data_centre);
}

void FleetSimulation::JoinAll() {
  cuts_.clear();
  platform_cuts_.clear();
}

void FleetSimulation::RunUntil(TimePoint end) {
  while (!tasks_.empty() && tasks_.top().at <= end) {
    auto task = tasks_.top();
    tasks_.pop();
    now_ = std::max(now_, task.at);
    RunTask(std::move(task));
  }
  now_ = end;
}

void FleetSimulation::RunTask(Task task) {
  auto& instance = instances_[task.instance];
  if (instance.node == nullptr || instance.generation != task.generation) {
    return;
  }
  if (now_ < instance.paused_until) {
    task.at = instance.paused_until;
    task.order = next_order_++;
    tasks_.push(std::move(task));
    return;
  }
  Perform(task.instance, task.run(*instance.node, now_));
  ScheduleTick(task.instance);
}

void FleetSimulation::Schedule(
    std::size_t instance, TimePoint at,
    std::function<FleetActions(FleetNode&, TimePoint)> run) {
  tasks_.push(Task{at, next_order_++, instance, instances_[instance].generation,
                   std::move(run)});
}

void FleetSimulation::ScheduleTick(std::size_t at) {
  auto& instance = instances_[at];
  const auto next = std::max(instance.node->NextTick(), now_);
  // An earlier tick is under way; it will find out when the next one is due.
  if (instance.next_tick > now_ && instance.next_tick <= next) {
    return;
  }
  instance.next_tick = next;
  Schedule(at, next, [this, at, next](FleetNode& node, TimePoint now) {
    if (instances_[at].next_tick == next) {
      instances_[at].next_tick = TimePoint::max();
    }
    return node.NextTick() <= now ? node.OnTick(now) : FleetActions();
  });
}

void FleetSimulation::Perform(std::size_t instance,
                              const FleetActions& actions) {
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<SendFleetMessage>(&action)) {
      Deliver(instance, *send);
    } else if (const auto* read = std::get_if<PlatformRead>(&action)) {
      Read(instance, *read);
    } else if (const auto* change = std::get_if<ConfigInForce>(&action)) {
      RecordInForce(instance, change->config->version);
    } else if (std::holds_alternative<ConfigRefused>(action)) {
      ++refusals_;
    } else {
      CheckDeaths(instance);
    }
  }
}

void FleetSimulation::Deliver(std::size_t from, const SendFleetMessage& send) {
  const auto found = by_address_.find(send.address);
  if (found == by_address_.end()) {
    return;
  }
  const auto to = found->second;
  if (!CanReach(from, to) || random_.Chance(loss_)) {
    return;
  }
  const auto sender = IdFromName<InstanceId>(instances_[from].settings.name);
  Schedule(
      to, now_ + Latency(from, to),
      [sender, text = Encode(send.message)](FleetNode& node, TimePoint now) {
        return TryOr(
            [&]() -> Result<FleetActions> {
              BOOST_LEAF_AUTO(message, DecodeFleetMessage(text));
              return node.OnMessage(sender, message, now);
            },
            [](const Error&) { return FleetActions(); });
      });
}

void FleetSimulation::Read(std::size_t at, const PlatformRead& read) {
  platform_.CountCall();
  if (read.wait == Duration(0) || platform_.HasChanged(read) ||
      platform_.mode() == PlatformMode::kDown || !CanReachPlatform(at)) {
    AnswerNow(at, read);
    return;
  }
  const auto number = next_watch_++;
  watches_.push_back(Watch{number, at, instances_[at].generation, read});
  Schedule(at, now_ + read.wait,
           [this, number, read](FleetNode& node, TimePoint now) {
             const auto found = std::find_if(watches_.begin(), watches_.end(),
                                             [number](const Watch& watch) {
                                               return watch.number == number;
                                             });
             if (found == watches_.end()) {
               return FleetActions();
             }
             watches_.erase(found);
             return node.OnPlatformAnswer(platform_.Answer(read), now);
           });
}

void FleetSimulation::AnswerNow(std::size_t at, const PlatformRead& read) {
  const auto is_lost = !CanReachPlatform(at) || random_.Chance(loss_);
  auto answer =
      is_lost ? PlatformAnswer{read.key, PlatformStatus::kUnreachable, 0, ""}
              : platform_.Answer(read);
  Schedule(at, now_ + 2 * kPlatformLatency,
           [answer = std::move(answer)](FleetNode& node, TimePoint now) {
             return node.OnPlatformAnswer(answer, now);
           });
}

void FleetSimulation::WakeWatches() {
  auto woken = std::vector<Watch>();
  std::erase_if(watches_, [this, &woken](const Watch& watch) {
    const auto is_gone =
        instances_[watch.instance].generation != watch.generation;
    const auto is_woken = !is_gone && platform_.HasChanged(watch.read);
    if (is_woken) {
      woken.push_back(watch);
    }
    return is_gone || is_woken;
  });
  for (const auto& watch : woken) {
    AnswerNow(watch.instance, watch.read);
  }
}

void FleetSimulation::RecordInForce(std::size_t at, Version version) {
  auto& instance = instances_[at];
  const auto is_first = instance.in_force == Version();
  if (version <= instance.in_force ||
      (is_first && version < instance.peers_at_start)) {
    ++reverts_;
  }
  instance.in_force = version;
}

void FleetSimulation::CheckDeaths(std::size_t at) {
  auto& instance = instances_[at];
  for (const auto& event : instance.events->Since(instance.checked)) {
    instance.checked = event.stamp;
    if (event.kind != EventKind::kMemberDead) {
      continue;
    }
    const auto subject = by_name_.at(event.subject);
    const auto is_long_running =
        now_ - instances_[subject].started > kDeathMargin;
    if (IsRunning(subject) && is_long_running && CanReach(at, subject)) {
      ++false_deaths_;
    }
  }
}

auto FleetSimulation::CanReach(std::size_t from, std::size_t to) const -> bool {
  return !cuts_.contains(
      std::minmax(instances_[from].data_centre, instances_[to].data_centre));
}

auto FleetSimulation::CanReachPlatform(std::size_t instance) const -> bool {
  return !platform_cuts_.contains(instances_[instance].data_centre);
}

auto FleetSimulation::Latency(std::size_t from, std::size_t to) -> Duration {
  const auto is_local =
      instances_[from].data_centre == instances_[to].data_centre;
  const auto base = is_local ? kLocalLatency : kFarLatency;
  return base + Duration(random_.Below(base.count()));
}

auto FleetSimulation::LowestInForce() const -> Version {
  auto lowest = Version(UINT64_MAX);
  for (std::size_t at = 0; at < instances_.size(); ++at) {
    if (IsRunning(at)) {
      lowest = std::min(lowest, InForce(at));
    }
  }
  return lowest;
}

auto FleetSimulation::SentBytes() const -> std::vector<std::uint64_t> {
  auto bytes = std::vector<std::uint64_t>();
  for (const auto& instance : instances_) {
    bytes.push_back(instance.node == nullptr ? 0 : instance.node->sent_bytes());
  }
  return bytes;
}

auto FleetSimulation::IsDeathKnown(std::size_t dead) const -> bool {
  const auto id = IdFromName<InstanceId>(NameOf(dead));
  for (std::size_t at = 0; at < instances_.size(); ++at) {
    if (at == dead || !IsRunning(at) || !CanReach(at, dead)) {
      continue;
    }
    const auto& view = node(at).members();
    const auto* member = FindMember(view, id);
    if (member != nullptr && member->state != MemberState::kDead) {
      return false;
    }
  }
  return true;
}

}  // namespace hemlockwick
