#include "Measure/propagation_world.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Edge/relay_codec.h"

namespace hemlockwick {

namespace {

constexpr TimePoint kStart{std::chrono::hours(500'000)};
constexpr auto kMillisecond = std::chrono::milliseconds(1);
constexpr Duration kTickInterval = 200 * kMillisecond;
constexpr Duration kNearDelay = 1 * kMillisecond;
constexpr Duration kFarDelay = 5 * kMillisecond;
constexpr Duration kDelaySpread = 2 * kMillisecond;
constexpr Duration kPlatformDelay = 4 * kMillisecond;
// Processes of a fleet start within this time.
constexpr Duration kStartSpread = 300 * kMillisecond;

// Bytes of the head of an HTTP request and of an answer.
constexpr std::size_t kHeadBytes = 120;

constexpr Port kRelayPort{7700};

// How often an instance observes a reply of each endpoint.
constexpr Duration kObservationInterval = std::chrono::seconds(1);

auto RelayOf(std::size_t instance) -> SocketAddress {
  return {Ipv4Address(0x0A000001 + static_cast<std::uint32_t>(instance)),
          kRelayPort};
}

}  // namespace

auto PropagationTimes::Quantile(double share) const -> Duration {
  if (times.empty()) {
    return Duration::max();
  }
  const auto last = static_cast<double>(times.size() - 1);
  return times[static_cast<std::size_t>(share * last)];
}

PropagationWorld::PropagationWorld(const PropagationSettings& settings)
    : settings_(settings),
      random_(settings.seed),
      now_(kStart),
      is_cut_(settings.data_centres, false),
      latest_{version_, kStart},
      known_after_(settings.instances) {
  for (std::size_t i = 0; i < settings_.instances; ++i) {
    nodes_.push_back(std::make_unique<Node>());
    At(now_ + random_.DurationBelow(kStartSpread), [this, i] { Start(i); });
  }
}

void PropagationWorld::At(TimePoint time, Task task) {
  events_.push({time, order_++, std::move(task)});
}

void PropagationWorld::AtProcess(std::size_t instance, std::uint64_t life,
                                 TimePoint time, Task task) {
  At(time, [this, instance, life, task = std::move(task)]() mutable {
    const auto& node = *nodes_[instance];
    if (node.sync == nullptr || node.life != life) {
      return;
    }
    if (now_ < node.frozen_until) {
      AtProcess(instance, life, node.frozen_until, std::move(task));
      return;
    }
    task();
  });
}

void PropagationWorld::RunFor(Duration time) {
  const auto end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    auto event = events_.top();
    events_.pop();
    now_ = event.at;
    event.task();
  }
  now_ = end;
}

void PropagationWorld::Start(std::size_t instance) {
  auto& node = *nodes_[instance];
  if (node.sync != nullptr) {
    return;
  }
  node.has_power = true;
  ++node.life;
  node.clock_offset = node.next_clock_offset;
  auto settings = SyncSettings();
  for (std::size_t seed = 0; seed < settings_.seeds; ++seed) {
    if (seed != instance) {
      settings.seeds.push_back(RelayOf(seed));
    }
  }
  settings.is_seed = IsSeed(instance);
  settings.random_seed = random_.engine()();
  settings.data_centre = DataCentreId(1 + DataCentreOf(instance));
  settings.own_relay = RelayOf(instance);
  const auto place = instance / settings_.data_centres;
  const auto is_large = place % 10 < settings_.large_in_ten;
  const auto self = Watcher{
      settings_.is_flat ? SocketAddress() : settings.own_relay,
      settings.data_centre,
      is_large ? settings_.large_capacity : settings_.small_capacity, true};
  node.routes = nullptr;
  node.sync = std::make_unique<DirectorySync>(settings, ClockOf(instance));
  node.relay = std::make_unique<RelayServer>(
      self, settings.random_seed, [&node, settings](TimePoint at) {
        auto state = RelayState();
        state.data_centre = settings.data_centre;
        state.age = at - node.sync->last_fresh();
        state.advice.path = node.sync->path();
        const auto* const speeds =
            node.speeds == nullptr ? nullptr : node.speeds->Current(at);
        if (speeds != nullptr) {
          state.speeds = *speeds;
        }
        return state;
      });
  if (settings_.observed_endpoints > 0) {
    node.speeds = std::make_unique<SpeedExchange>();
  }
  MakeCall(instance);
  Tick(instance, node.life);
}

void PropagationWorld::Kill(std::size_t instance, bool with_power) {
  auto& node = *nodes_[instance];
  node.sync.reset();
  node.relay.reset();
  node.has_power = !with_power;
}

void PropagationWorld::Freeze(std::size_t instance, Duration time) {
  nodes_[instance]->frozen_until = now_ + time;
}

void PropagationWorld::Leave(std::size_t instance) {
  nodes_[instance]->relay->RedirectWatchers(ClockOf(instance));
}

void PropagationWorld::SetClock(std::size_t instance, Duration offset) {
  nodes_[instance]->next_clock_offset = offset;
}

void PropagationWorld::Refuse(std::size_t instance, bool is_refused) {
  nodes_[instance]->is_refused = is_refused;
}

void PropagationWorld::ForgetHistory() { history_from_ = position_.revision; }

void PropagationWorld::Restore(std::uint64_t lost) {
  const auto left = std::max(position_.revision.value(), lost + 1) - lost;
  position_ = {Era(position_.era.value() + 1), Revision(left)};
  history_from_ = std::min(history_from_, position_.revision);
  // Connections to the platform break.
  for (const auto& watch : std::exchange(watches_, {})) {
    Answer(watch.instance, watch.call, now_ + kPlatformDelay, SyncAnswer());
  }
}

void PropagationWorld::CutOff(std::size_t data_centre, bool is_cut) {
  is_cut_[data_centre] = is_cut;
}

void PropagationWorld::CutOneWay(std::size_t from, std::size_t to) {
  one_way_cuts_.emplace(from, to);
}

void PropagationWorld::Change() {
  position_.revision = Revision(position_.revision.value() + 1);
  version_ = Version(version_.value() + 1);
  latest_ = {version_, now_};
  std::ranges::fill(known_after_, std::nullopt);
  for (const auto& watch : std::exchange(watches_, {})) {
    AnswerFromPlatform(watch.instance, watch.call, watch.after);
  }
}

auto PropagationWorld::Spread() const -> PropagationTimes {
  auto spread = PropagationTimes();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!IsRunning(i)) {
      continue;
    }
    if (known_after_[i]) {
      spread.times.push_back(*known_after_[i]);
    } else {
      ++spread.missing;
    }
  }
  std::ranges::sort(spread.times);
  return spread;
}

void PropagationWorld::RecordKnown(std::size_t instance) {
  auto& known = known_after_[instance];
  const auto& routes = nodes_[instance]->routes;
  if (!known && routes != nullptr && routes->version >= latest_.version) {
    known = now_ - latest_.at;
  }
}

void PropagationWorld::MakeCall(std::size_t instance) {
  auto& node = *nodes_[instance];
  const auto at = std::max(node.sync->next().at - node.clock_offset, now_);
  AtProcess(instance, node.life, at, [this, instance] {
    auto& caller = *nodes_[instance];
    const auto call = ++caller.call;
    const auto& next = caller.sync->next();
    Answer(instance, call, now_ + next.timeout, SyncAnswer());
    if (!next.relay) {
      CallPlatform(instance, call);
    } else if (const auto target = Find(*next.relay)) {
      CallRelay(instance, call, *target);
    }
  });
}

// Answers the call unless it has been answered; without an answer by then it
// has failed.
void PropagationWorld::Answer(std::size_t instance, std::uint64_t call,
                              TimePoint at, SyncAnswer answer) {
  AtProcess(instance, nodes_[instance]->life, at,
            [this, instance, call, answer = std::move(answer)] {
              Take(instance, call, answer);
            });
}

void PropagationWorld::Take(std::size_t instance, std::uint64_t call,
                            const SyncAnswer& answer) {
  auto& node = *nodes_[instance];
  if (node.call != call) {
    return;
  }
  ++node.call;
  node.sync->SetLocalWatchers(node.relay->LocalWatchers());
  const auto now = ClockOf(instance);
  if (node.sync->OnAnswer(answer, now)) {
    if (node.speeds != nullptr && answer.speeds) {
      node.speeds->AddUpstream(*answer.speeds);
    }
    node.relay->AddUpstreamSuspects(answer.suspects, now);
    node.relay->Add(answer.update, now);
    const auto& routes = answer.update.routes;
    if (routes != nullptr &&
        (node.routes == nullptr || node.routes->version < routes->version)) {
      node.routes = routes;
    }
    RecordKnown(instance);
  }
  node.relay->OnTick(now);
  MakeCall(instance);
}

void PropagationWorld::CallPlatform(std::size_t instance, std::uint64_t call) {
  ++platform_calls_;
  const auto& node = *nodes_[instance];
  const auto& next = node.sync->next();
  if (is_platform_silent_ || is_cut_[DataCentreOf(instance)] ||
      random_.Chance(settings_.loss)) {
    return;
  }
  if (node.is_refused) {
    auto refused = SyncAnswer();
    refused.status = SyncStatus::kRefused;
    Answer(instance, call, now_ + kPlatformDelay, std::move(refused));
    return;
  }
  const auto is_watch = next.kind == SyncCall::Kind::kWatch;
  if (is_watch && next.after.revision >= position_.revision &&
      next.wait > Duration(0)) {
    watches_.push_back({instance, call, next.after.revision});
    At(now_ + next.wait, [this, instance, call, after = next.after.revision] {
      const auto waits = std::erase_if(watches_, [&](const auto& watch) {
        return watch.instance == instance && watch.call == call;
      });
      if (waits > 0) {
        AnswerFromPlatform(instance, call, after);
      }
    });
    return;
  }
  AnswerFromPlatform(instance, call,
                     is_watch ? next.after.revision : Revision());
}

// `after` is zero for a read of everything.
void PropagationWorld::AnswerFromPlatform(std::size_t instance,
                                          std::uint64_t call, Revision after) {
  if (is_platform_silent_ || is_cut_[DataCentreOf(instance)]) {
    return;
  }
  auto answer = SyncAnswer();
  answer.status = SyncStatus::kOk;
  answer.update.position = position_;
  answer.update.is_whole = after == Revision();
  if (answer.update.is_whole) {
    ++whole_reads_;
  } else if (after < history_from_ || after > position_.revision) {
    answer.status = SyncStatus::kHistoryLost;
  }
  if (after < position_.revision) {
    answer.update.routes = RoutesAt(version_);
  }
  Answer(instance, call, now_ + kPlatformDelay, std::move(answer));
}

auto PropagationWorld::RoutesAt(Version version) const
    -> std::shared_ptr<const RouteSet> {
  constexpr auto kRoutes = std::uint64_t{20};
  auto routes = std::make_shared<RouteSet>();
  routes->version = version;
  // Each change removes one route and adds another.
  for (std::uint64_t i = 0; i < kRoutes; ++i) {
    const auto number = static_cast<std::uint32_t>(version.value() + i);
    routes->routes.push_back(
        {{Ipv4Address(number), Port(443)}, {{ServiceId(1), 1}}});
  }
  return routes;
}

void PropagationWorld::SendToRelay(std::size_t from, std::size_t target,
                                   const std::string& request, Task deliver) {
  const auto bytes = request.size() + kHeadBytes;
  nodes_[from]->bytes_sent += bytes;
  far_bytes_ += DataCentreOf(from) == DataCentreOf(target) ? 0 : bytes;
  if (!IsRunning(target) || !HasPath(from, target) ||
      random_.Chance(settings_.loss)) {
    return;
  }
  AtProcess(target, nodes_[target]->life, now_ + DelayBetween(from, target),
            std::move(deliver));
}

void PropagationWorld::CallRelay(std::size_t instance, std::uint64_t call,
                                 std::size_t target) {
  auto& node = *nodes_[instance];
  const auto& next = node.sync->next();
  const auto arrival = now_ + DelayBetween(instance, target);
  const auto is_closed = !IsRunning(target) && nodes_[target]->has_power &&
                         HasPath(instance, target);
  if (is_closed) {
    Answer(instance, call, arrival, SyncAnswer());
    return;
  }
  auto query = RelayQuery();
  if (next.kind == SyncCall::Kind::kWatch) {
    query.after = next.after;
  }
  query.version = node.routes == nullptr ? Version() : node.routes->version;
  query.wait = next.wait;
  query.watcher = node.relay->Self();
  auto base = node.routes;
  SendToRelay(
      instance, target, FormatQuery(query),
      [this, instance, call, target, query, base = std::move(base)] {
        const auto reply = [this, instance, call, target,
                            base](const HttpReply& answer) {
          const auto bytes = answer.body.size() + kHeadBytes;
          nodes_[target]->bytes_sent += bytes;
          const auto is_far = DataCentreOf(instance) != DataCentreOf(target);
          far_bytes_ += is_far ? bytes : 0;
          if (!HasPath(target, instance)) {
            return;
          }
          auto decoded = SyncAnswer();
          if (answer.status == 200) {
            decoded = TryOr(
                [&] {
                  return DecodeUpdate(answer.body, base.get(),
                                      ClockOf(instance));
                },
                [](const Error&) { return SyncAnswer(); });
          } else {
            decoded.status = answer.status == 410 ? SyncStatus::kHistoryLost
                                                  : SyncStatus::kRefused;
          }
          Answer(instance, call, now_ + DelayBetween(target, instance),
                 std::move(decoded));
        };
        nodes_[target]->relay->Serve(query, reply, ClockOf(target));
      });
}

void PropagationWorld::Tick(std::size_t instance, std::uint64_t life) {
  nodes_[instance]->relay->OnTick(ClockOf(instance));
  SendReports(instance);
  if (nodes_[instance]->speeds != nullptr) {
    SendReplies(instance);
  }
  AtProcess(instance, life, now_ + kTickInterval,
            [this, instance, life] { Tick(instance, life); });
}

void PropagationWorld::SendReports(std::size_t instance) {
  auto& node = *nodes_[instance];
  auto reports = HealthReports{node.relay->TakePendingReports()};
  if (reports.reports.empty()) {
    return;
  }
  const auto send = [&](std::size_t target) {
    SendToRelay(instance, target, FormatReports(reports),
                [this, target, reports] {
                  nodes_[target]->reports_taken += reports.reports.size();
                  nodes_[target]->relay->AddReports(reports, ClockOf(target));
                });
  };
  if (const auto parent = Parent(instance)) {
    send(*parent);
    return;
  }
  reports.from_peer = true;
  for (std::size_t seed = 0; seed < settings_.seeds; ++seed) {
    if (seed != instance) {
      send(seed);
    }
  }
}

void PropagationWorld::Observe(Node& node, TimePoint now) {
  if (now < node.next_observation) {
    return;
  }
  node.next_observation = now + kObservationInterval;
  auto replies = std::vector<ReplySummary>();
  for (std::size_t i = 0; i < settings_.observed_endpoints; ++i) {
    replies.push_back({ObservedToken(i), 1, i % 3 == 0 ? slow_ratio_ : 1.0});
  }
  node.speeds->AddOwn(replies);
}

void PropagationWorld::SendReplies(std::size_t instance) {
  auto& node = *nodes_[instance];
  const auto now = ClockOf(instance);
  const auto parent = Parent(instance);
  const auto place = parent                      ? TreePlace::kBelow
                     : node.sync->is_tree_root() ? TreePlace::kRoot
                                                 : TreePlace::kDetached;
  Observe(node, now);
  node.speeds->OnTick(place, now);
  auto sum = node.speeds->TakeDueSum(place, RelaysAbove(instance), now);
  if (sum.empty()) {
    return;
  }
  auto receivers = std::vector<std::size_t>();
  for (std::size_t seed = 0; !parent && seed < settings_.seeds; ++seed) {
    if (seed != instance) {
      receivers.push_back(seed);
    }
  }
  if (parent) {
    receivers.push_back(*parent);
  }
  sum.resize(std::min(sum.size(), SummariesPerReceiver(receivers.size())));
  const auto reports = HealthReports{
      {{InstanceId(1 + instance), {{}, {}, {}, std::move(sum)}}}, !parent};
  for (const auto receiver : receivers) {
    SendToRelay(
        instance, receiver, FormatReports(reports), [this, receiver, reports] {
          nodes_[receiver]->speeds->AddReports(reports, ClockOf(receiver));
        });
  }
}

auto PropagationWorld::Speeds(std::size_t instance) const
    -> const SharedSpeeds* {
  return nodes_[instance]->speeds->Current(ClockOf(instance));
}

void PropagationWorld::ReportSilent(std::size_t instance, FlowToken token) {
  const auto reporter = InstanceId(1 + instance);
  nodes_[instance]->relay->AddReports({{{reporter, {{token}, {}, {}}}}},
                                      ClockOf(instance));
}

auto PropagationWorld::Suspects(std::size_t instance, FlowToken token) const
    -> bool {
  const auto suspects = nodes_[instance]->relay->Suspects(ClockOf(instance));
  return std::ranges::find(suspects, token, &SharedSuspect::token) !=
         suspects.end();
}

auto PropagationWorld::BusiestBytes() const -> std::size_t {
  auto busiest = std::size_t{0};
  for (const auto& node : nodes_) {
    busiest = std::max(busiest, node->bytes_sent);
  }
  return busiest;
}

auto PropagationWorld::Parent(std::size_t instance) const
    -> std::optional<std::size_t> {
  const auto& parent = nodes_[instance]->sync->parent();
  return parent ? Find(*parent) : std::nullopt;
}

auto PropagationWorld::RelaysAbove(std::size_t instance) const -> std::size_t {
  return nodes_[instance]->sync->path().size();
}

auto PropagationWorld::Watchers(std::size_t instance) const -> std::size_t {
  return nodes_[instance]->relay->watchers();
}

auto PropagationWorld::Age(std::size_t instance) const -> Duration {
  return ClockOf(instance) - nodes_[instance]->sync->last_fresh();
}

void PropagationWorld::ResetCounts() {
  platform_calls_ = 0;
  whole_reads_ = 0;
  far_bytes_ = 0;
  for (const auto& node : nodes_) {
    node->bytes_sent = 0;
    node->reports_taken = 0;
  }
}

auto PropagationWorld::HasPath(std::size_t from, std::size_t to) const -> bool {
  const auto is_near = DataCentreOf(from) == DataCentreOf(to);
  const auto is_cut = is_cut_[DataCentreOf(from)] || is_cut_[DataCentreOf(to)];
  return (is_near || !is_cut) && !one_way_cuts_.contains({from, to});
}

auto PropagationWorld::DelayBetween(std::size_t from, std::size_t to)
    -> Duration {
  const auto is_near = DataCentreOf(from) == DataCentreOf(to);
  return (is_near ? kNearDelay : kFarDelay) +
         random_.DurationBelow(kDelaySpread);
}

auto PropagationWorld::Find(const SocketAddress& relay) const
    -> std::optional<std::size_t> {
  const auto index = relay.ip.value() - RelayOf(0).ip.value();
  return index < nodes_.size() ? std::optional<std::size_t>(index)
                               : std::nullopt;
}

}  // namespace hemlockwick
