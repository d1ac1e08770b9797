#include "Soak/run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <iterator>
#include <set>
#include <sstream>
#include <utility>

namespace hemlockwick::soak {

namespace {

constexpr Port kStorePort{8169};
const auto kZones = std::array<std::string, 3>{"a", "b", "c"};

constexpr Duration kWatchInterval = std::chrono::milliseconds(250);
// A longer time between two looks at the instances is said in the log.
constexpr Duration kNotablePause = std::chrono::milliseconds(600);
constexpr Duration kBeatInterval = std::chrono::milliseconds(1200);
constexpr Duration kCopyInterval = std::chrono::seconds(1);
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr Duration kMeanGap = std::chrono::milliseconds(700);
constexpr Duration kStartTime = std::chrono::seconds(30);
// After the last fault: time to settle, and time in which all is served.
constexpr Duration kRecoverTime = std::chrono::seconds(8);
constexpr Duration kCheckTime = std::chrono::seconds(3);
// A draining endpoint serves on for this long.
constexpr Duration kDrainTime = std::chrono::milliseconds(3500);
// Some serve many seconds longer.
constexpr double kLongDrainShare = 0.3;
constexpr Duration kLongDrainSpread = std::chrono::seconds(8);
// An address may be used by another endpoint after this time.
constexpr Duration kReuseTime = std::chrono::seconds(2);
// The entry of a crashed endpoint lapses after three missed heartbeats.
constexpr Duration kLapseTime = std::chrono::milliseconds(3600);

// Share of requests that is served once all faults are over.
constexpr double kServedAfter = 0.99;

// A fault lasts for the shortest time and up to its spread longer.
constexpr Duration kShortestFault = std::chrono::milliseconds(500);
constexpr Duration kFaultSpread = std::chrono::seconds(4);
// Long enough for the entry of an endpoint that is cut off to lapse.
constexpr Duration kCutSpread = std::chrono::seconds(5);

// The store is away for so long before it comes back from a copy.
constexpr Duration kShortestAway = std::chrono::milliseconds(200);
constexpr Duration kAwaySpread = std::chrono::milliseconds(1800);
// The operator writes again what it wrote, within this time, and goes on.
constexpr Duration kWriteAgainTime = std::chrono::seconds(1);

// Writes just before the store goes away, which are lost.
constexpr int kLostWrites = 80;
// Instances get them within this time.
constexpr Duration kLostWritesTime = std::chrono::milliseconds(300);

// Many processes are killed again after a time of this to twice this.
constexpr Duration kKillAgainTime = std::chrono::seconds(2);

// The only fault of a run comes this long after the start, a restore when
// there are some copies.
constexpr Duration kFirstKillTime = std::chrono::seconds(1);
constexpr Duration kFirstRestoreTime = std::chrono::seconds(4);

// A data centre is evacuated for the shortest time and up to its spread longer;
// the next one follows after a random time, often before.
constexpr Duration kFirstEvacuationTime = std::chrono::milliseconds(300);
constexpr Duration kShortestEvacuation = std::chrono::seconds(5);
constexpr Duration kEvacuationSpread = std::chrono::seconds(6);
// After a restore the operator requests evacuations again within this time, in
// which instances have read the older copy.
constexpr Duration kEvacuateAgainTime = std::chrono::seconds(3);
constexpr Duration kMeanEvacuationGap = std::chrono::seconds(5);
// Share of those that may leave a service without an endpoint. The others are
// planned work.
constexpr double kTotalEvacuationShare = 0.2;

constexpr std::uint16_t kSparePort = 10'000;
constexpr std::size_t kSpareRoutes = 200;
constexpr std::size_t kFirstSpareRoutes = 4;
// Probes are sent for so many routes, those that were changed last.
constexpr std::size_t kProbedRoutes = 6;

auto SpareRoute(std::size_t number) -> SocketAddress {
  return {Ipv4Address(0xC6120009),
          Port(static_cast<std::uint16_t>(kSparePort + number))};
}

}  // namespace

SoakRun::SoakRun(const SoakSettings& settings)
    : settings_(settings),
      world_(settings.seed, settings.network),
      flow_ledger_(world_,
                   [this](Ipv4Address instance, std::uint64_t endpoint) {
                     return IsSound(instance, endpoint);
                   }),
      evacuation_random_(settings.seed + 1) {
  services_ = {{"feed", {Ipv4Address(0xC6120001), Port(443)}},
               {"scan", {Ipv4Address(0xC6120002), Port(443)}}};
  MakeLinks();
}

// Whether an instance and an endpoint live and are calm.
auto SoakRun::IsSound(Ipv4Address instance, std::uint64_t endpoint) -> bool {
  const auto now = world_.Now();
  auto* const edge = edges_->Find(instance);
  const auto found =
      std::ranges::find_if(endpoints_, [endpoint](const auto& candidate) {
        return candidate->id() == endpoint;
      });
  return edge != nullptr && edge->calm.IsCalm(now) &&
         found != endpoints_.end() && !(*found)->has_ended() &&
         (*found)->calm().IsCalm(now);
}

void SoakRun::MakeLinks() {
  endpoint_links_.flows = &flow_ledger_;
  endpoint_links_.to_caller = [this](const Packet& packet,
                                     std::uint64_t endpoint) {
    const auto delay = std::chrono::milliseconds(1 + world_.random().Below(3));
    world_.After(delay, [this, packet, endpoint] {
      for (const auto& caller : callers_) {
        if (caller->ip() == packet.to.ip && !caller->has_stopped()) {
          caller->FromEndpoint(packet, endpoint);
        }
      }
    });
  };
  endpoint_links_.is_calm = [this](Ipv4Address instance) {
    const auto now = world_.Now();
    auto* const edge = edges_->Find(instance);
    return edge != nullptr && edge->calm.IsCalm(now) && store_calm_.IsCalm(now);
  };
  endpoint_links_.is_lost = [this](Ipv4Address instance) {
    auto* const edge = edges_->Find(instance);
    return edge != nullptr && world_.random().Chance(edge->loss);
  };
  endpoint_links_.service_of = [this](const SocketAddress& address) {
    if (address.port.value() >= kSparePort) {
      return services_.front().name;
    }
    const auto found = std::ranges::find(services_, address, &Service::address);
    return found == services_.end() ? std::string() : found->name;
  };
  endpoint_links_.removed_at = [this](const SocketAddress& address) {
    const auto found = removed_.find(address);
    return found == removed_.end() ? std::nullopt
                                   : std::optional(found->second);
  };
  endpoint_links_.is_evacuated = [this](const std::string& zone,
                                        Ipv4Address instance) {
    auto* const edge = edges_->Find(instance);
    return edge != nullptr &&
           evacuations_->IsInForce(zone, instance, edge->life);
  };
  caller_links_.opening_refused = [this](Ipv4Address instance,
                                         const SocketAddress& service) {
    CheckOpeningRefused(instance, service);
  };
  caller_links_.route = [this](const SocketAddress& caller,
                               const SocketAddress& service,
                               const std::string& zone) {
    return edges_->Route(caller, service, zone);
  };
  caller_links_.is_lost = endpoint_links_.is_lost;
  caller_links_.is_wrong_reset = [this](Ipv4Address instance,
                                        const SocketAddress& service,
                                        std::uint64_t endpoint) {
    return !removed_.contains(service) && IsSound(instance, endpoint);
  };
  caller_links_.is_wrong_endpoint = [this](const FlowId& id,
                                           std::uint64_t endpoint) {
    return flow_ledger_.IsWrongReset(id, endpoint);
  };
  caller_links_.done = [this](bool served, bool is_first_try) {
    ++(served ? served_ : failed_);
    if (recovered_) {
      ++(served ? served_after_ : failed_after_);
    }
    if (served && !is_first_try) {
      world_.Count("requests served by a further try");
    }
  };
}

auto SoakRun::Run() -> Result<bool> {
  const auto store = SocketAddress{world_.Address(5, 0), kStorePort};
  BOOST_LEAF_ASSIGN(store_, StoreStandIn::Start(world_.context(), store));
  evacuations_ = std::make_unique<Evacuations>(world_, *store_);
  for (auto number = std::size_t{0}; number < kFirstSpareRoutes; ++number) {
    spare_[SpareRoute(number)] = world_.Now();
  }
  Publish();
  EverySoOften(kCopyInterval, [this] { store_->Copy(); });
  probe_ = std::make_unique<RouteProbe>(
      world_, world_.Address(6, 0),
      [this](const SocketAddress& service, Ipv4Address instance) {
        CheckRefusal(service, instance);
      });
  for (auto index = std::size_t{0}; index < settings_.endpoints; ++index) {
    AddEndpoint(services_[index % 3 == 2 ? 1 : 0].name,
                kZones[(index / 2) % kZones.size()]);
  }
  BOOST_LEAF_ASSIGN(edges_,
                    Edges::Start(world_, {settings_.program, settings_.folder,
                                          settings_.instances, store}));
  EverySoOften(kWatchInterval, [this] {
    NoteOwnPause();
    edges_->Watch();
    NoteCalmEdges();
  });
  EverySoOften(kBeatInterval, [this] {
    for (const auto& endpoint : endpoints_) {
      Beat(*endpoint);
    }
  });
  const auto started = world_.Now();
  while (!edges_->AllReady() && world_.Now() - started < kStartTime) {
    world_.context().run_one();
  }
  if (!edges_->AllReady()) {
    world_.Break("processes become ready", "within 30 s");
    return false;
  }
  world_.Say("all instances are ready");
  StartCallers();
  EverySoOften(kProbeInterval, [this] { ProbeRoutes(); });
  end_ = world_.Now() + settings_.length;
  if (settings_.only == "restore") {
    world_.After(kFirstRestoreTime, [this] { RestoreStore(); });
  } else if (settings_.only == "kill-many") {
    world_.After(kFirstKillTime, [this] { KillManyTwice(); });
  }
  world_.After(kFirstEvacuationTime, [this] { NextEvacuation(); });
  NextAction();
  world_.context().run();
  Report();
  return world_.broken().empty();
}

void SoakRun::EverySoOften(Duration time, const std::function<void()>& action) {
  action();
  world_.After(time, [this, time, action] { EverySoOften(time, action); });
}

void SoakRun::Publish() {
  auto text = std::ostringstream();
  text << R"({"version":)" << ++version_ << R"(,"routes":[)";
  for (const auto& service : services_) {
    text << R"({"name":"r","host":")" << ToString(service.address.ip)
         << R"(","prefix":"/)" << service.address.port.value()
         << R"(/","kind":"safe","service":")" << service.name << R"("},)";
  }
  for (const auto& [address, since] : spare_) {
    text << R"({"name":"s","host":")" << ToString(address.ip)
         << R"(","prefix":"/)" << address.port.value()
         << R"(/","kind":"safe","service":")" << services_.front().name
         << R"("},)";
  }
  auto value = text.str();
  value.pop_back();
  config_ = value + R"(],"services":[],"limits":{}})";
  store_->Put("op/config", config_);
}

// Opens a flow of a route that was just changed at each instance.
void SoakRun::ProbeRoutes() {
  if (changed_.empty()) {
    return;
  }
  const auto route = changed_[world_.random().Below(changed_.size())];
  for (auto index = std::size_t{0}; index < edges_->size(); ++index) {
    if (edges_->at(index).in_rotation()) {
      probe_->Send(route, edges_->at(index).ip);
    }
  }
}

// A route must be in force some time after it was added.
void SoakRun::CheckRefusal(const SocketAddress& service, Ipv4Address instance) {
  const auto now = world_.Now();
  const auto found = spare_.find(service);
  world_.Count("openings refused");
  const auto is_evacuated =
      IsAnyZoneOutOfService() && !HasUsableEndpoint(services_.front().name);
  if (found != spare_.end() && now - found->second > kInForceTime &&
      endpoint_links_.is_calm(instance) && !is_evacuated) {
    world_.Break("an added route takes new flows",
                 ToString(service) + " at " + ToString(instance));
  }
}

auto SoakRun::IsAnyZoneOutOfService() const -> bool {
  return std::ranges::any_of(kZones, [this](const auto& zone) {
    return !evacuations_->IsInService(zone);
  });
}

auto SoakRun::HasUsableEndpoint(const std::string& service) -> bool {
  const auto now = world_.Now();
  return std::ranges::any_of(endpoints_, [&](const auto& endpoint) {
    return endpoint->service() == service && !endpoint->has_ended() &&
           !endpoint->is_draining() && endpoint->calm().IsCalm(now) &&
           now - added_[endpoint->id()] >= kCalmTime &&
           evacuations_->IsInService(endpoint->zone());
  });
}

// An opening is refused only while all data centres of the service are
// evacuated.
void SoakRun::CheckOpeningRefused(Ipv4Address instance,
                                  const SocketAddress& service) {
  world_.Count("openings of callers refused");
  if (endpoint_links_.is_calm(instance) &&
      HasUsableEndpoint(endpoint_links_.service_of(service))) {
    world_.Break("a service with an endpoint in service takes new flows",
                 ToString(service) + " at " + ToString(instance));
  }
}

// Says when this program stood still, for example because a write to a file
// took long. Callers, endpoints and the store stand still with it, so promises
// may seem broken.
void SoakRun::NoteOwnPause() {
  const auto now = world_.Now();
  const auto last = std::exchange(last_watch_, now);
  if (last != TimePoint() && now - last > kNotablePause) {
    world_.Count("pauses of the soak itself");
    world_.Say("the soak stood still for " +
               std::to_string(ToMillis(now - last)) + " ms");
  }
}

// Notes the instances that must know the evacuations by now.
void SoakRun::NoteCalmEdges() {
  for (auto index = std::size_t{0}; index < edges_->size(); ++index) {
    const auto& edge = edges_->at(index);
    if (endpoint_links_.is_calm(edge.ip)) {
      evacuations_->NoteCalm(edge.ip, edge.life);
    }
  }
}

void SoakRun::NextEvacuation() {
  if (world_.Now() >= end_) {
    return;
  }
  const auto& zone = kZones.at(evacuation_random_.Below(kZones.size()));
  const auto may_be_total = !settings_.planned_only && settings_.only.empty() &&
                            evacuation_random_.Chance(kTotalEvacuationShare);
  const auto time =
      kShortestEvacuation + evacuation_random_.DurationBelow(kEvacuationSpread);
  if (!evacuations_->IsEvacuated(zone) && (may_be_total || MayEvacuate(zone))) {
    evacuations_->Start(zone);
    world_.After(time, [this, zone] { evacuations_->End(zone); });
  }
  world_.After(evacuation_random_.Exponential(kMeanEvacuationGap),
               [this] { NextEvacuation(); });
}

// Whether each service keeps an endpoint in a data centre in service.
auto SoakRun::MayEvacuate(const std::string& zone) -> bool {
  return std::ranges::all_of(services_, [&](const auto& service) {
    return std::ranges::any_of(endpoints_, [&](const auto& endpoint) {
      return endpoint->service() == service.name && !endpoint->has_ended() &&
             !endpoint->is_draining() && !endpoint->is_cut_off() &&
             endpoint->zone() != zone &&
             evacuations_->IsInService(endpoint->zone());
    });
  });
}

void SoakRun::AddEndpoint(const std::string& service, const std::string& zone) {
  // Addresses of ended endpoints are used again, for either service. There are
  // more of them than endpoints live at once.
  const auto addresses = 2 * settings_.endpoints + 20;
  auto address = SocketAddress();
  const auto is_taken = [&] {
    return std::ranges::any_of(endpoints_, [&](const auto& endpoint) {
      return !endpoint->has_ended() && endpoint->address() == address;
    });
  };
  do {
    address = {world_.Address(3, next_address_++ % addresses), Port(8080)};
  } while (is_taken());
  endpoints_.push_back(std::make_unique<Endpoint>(world_, next_endpoint_++,
                                                  service, zone, address,
                                                  ledger_, endpoint_links_));
  added_[endpoints_.back()->id()] = world_.Now();
  Beat(*endpoints_.back());
}

void SoakRun::Beat(const Endpoint& endpoint) {
  if (!endpoint.has_ended() && !endpoint.is_cut_off()) {
    store_->Put(endpoint.key(), endpoint.entry());
    beaten_[endpoint.key()] = world_.Now();
  }
}

// Lets the entry of an endpoint lapse unless it has been written since.
void SoakRun::Expire(const std::string& key, TimePoint since) {
  world_.After(kLapseTime, [this, key, since] {
    if (beaten_[key] < since) {
      store_->Delete(key);
    }
  });
}

void SoakRun::StartCallers() {
  for (auto index = std::size_t{0}; index < settings_.callers; ++index) {
    const auto is_feed = index % 2 == 0;
    callers_.push_back(std::make_shared<Caller>(
        world_, world_.Address(2, index), kZones[index % kZones.size()],
        is_feed ? Caller::Habit::kFeed : Caller::Habit::kOrders,
        services_[index % 4 == 3 ? 1 : 0].address, caller_links_));
    callers_.back()->Start();
  }
}

auto SoakRun::FaultTime(Duration spread) -> Duration {
  return kShortestFault + world_.random().DurationBelow(spread);
}

auto SoakRun::AnyEdge() -> std::size_t {
  return world_.random().Below(edges_->size());
}

auto SoakRun::AnyEndpoint() -> Endpoint* {
  auto living = std::vector<Endpoint*>();
  for (const auto& endpoint : endpoints_) {
    if (!endpoint->has_ended() && !endpoint->is_draining() &&
        !endpoint->is_cut_off()) {
      living.push_back(endpoint.get());
    }
  }
  if (living.empty()) {
    return nullptr;
  }
  // Each service keeps one endpoint at least, if it can in a data centre that
  // is not evacuated.
  auto* const chosen = living[world_.random().Below(living.size())];
  const auto is_other = [&](const auto* other) {
    return other != chosen && other->service() == chosen->service() &&
           !evacuations_->IsEvacuated(other->zone());
  };
  return std::ranges::any_of(living, is_other) ? chosen : nullptr;
}

void SoakRun::NextAction() {
  if (world_.Now() >= end_) {
    Finish();
    return;
  }
  if (settings_.planned_only || world_.random().Chance(0.4)) {
    PlannedAction();
  } else if (settings_.only.empty()) {
    FaultAction();
  }
  world_.After(world_.random().Exponential(kMeanGap), [this] { NextAction(); });
}

void SoakRun::PlannedAction() {
  switch (world_.random().Below(5)) {
    case 0: {
      const auto edge = AnyEdge();
      world_.Say("stop edge-" + std::to_string(edge));
      edges_->End(edge, SIGTERM);
      break;
    }
    case 1: {
      const auto edge = AnyEdge();
      world_.Say("change settings of edge-" + std::to_string(edge));
      edges_->WriteSettings(edge,
                            world_.random().Chance(0.5) ? "warning" : "info");
      edges_->Reload(edge);
      break;
    }
    case 2:
    case 3:
      DrainEndpoint();
      break;
    default:
      ChangeRoutes();
      break;
  }
}

void SoakRun::FaultAction() {
  switch (world_.random().Below(12)) {
    case 0: {
      const auto edge = AnyEdge();
      world_.Say("kill edge-" + std::to_string(edge));
      edges_->End(edge, SIGKILL);
      break;
    }
    case 1: {
      const auto edge = AnyEdge();
      const auto time =
          world_.random().DurationBelow(std::chrono::milliseconds(3500));
      world_.Say("pause edge-" + std::to_string(edge));
      edges_->Pause(edge, time);
      break;
    }
    case 2:
      CrashEndpoint();
      break;
    case 3:
      StoreFault();
      break;
    case 4:
      LossFault();
      break;
    case 5:
      WriteTraps();
      break;
    case 6:
      CutEndpoint();
      break;
    case 7:
      FailEndpoint();
      break;
    case 8:
      RestoreStore();
      break;
    case 9:
      KillManyTwice();
      break;
    default:
      LinkFaultAction();
      break;
  }
}

void SoakRun::KillManyTwice() {
  KillMany();
  const auto again =
      kKillAgainTime + world_.random().DurationBelow(kKillAgainTime);
  world_.After(again, [this] {
    if (world_.Now() < end_) {
      KillMany();
    }
  });
}

// Kills half of the instances at the same moment, a seed among them.
void SoakRun::KillMany() {
  const auto half = (edges_->size() + 1) / 2;
  auto chosen = std::set<std::size_t>{
      world_.random().Below(std::min(edges_->size(), Edges::kSeeds))};
  while (chosen.size() < half) {
    chosen.insert(AnyEdge());
  }
  auto text = std::string("kill at once");
  for (const auto index : chosen) {
    text += " edge-" + std::to_string(index);
    edges_->End(index, SIGKILL);
  }
  world_.Say(text);
}

void SoakRun::DrainEndpoint() {
  auto* const endpoint = AnyEndpoint();
  if (endpoint == nullptr) {
    return;
  }
  world_.Say("drain " + endpoint->key());
  endpoint->Drain(world_.Now());
  Beat(*endpoint);
  AddEndpoint(endpoint->service(), endpoint->zone());
  auto time = kDrainTime;
  if (world_.random().Chance(kLongDrainShare)) {
    time += world_.random().DurationBelow(kLongDrainSpread);
  }
  world_.After(time, [this, endpoint] {
    if (!endpoint->has_ended()) {
      endpoint->End();
      store_->Delete(endpoint->key());
    }
  });
}

void SoakRun::CrashEndpoint() {
  auto* const endpoint = AnyEndpoint();
  if (endpoint == nullptr) {
    return;
  }
  world_.Say("crash " + endpoint->key());
  endpoint->End();
  world_.After(kLapseTime,
               [this, key = endpoint->key()] { store_->Delete(key); });
  Replace(endpoint->service(), endpoint->zone(), kReuseTime);
}

// Cuts an endpoint off and lets it come back with its flows. Its entry lapses
// meanwhile when that takes long.
void SoakRun::CutEndpoint() {
  auto* const endpoint = AnyEndpoint();
  if (endpoint == nullptr) {
    return;
  }
  const auto time = FaultTime(kCutSpread);
  world_.Say("cut off " + endpoint->key());
  endpoint->CutOffUntil(world_.Now() + time);
  world_.After(kLapseTime, [this, endpoint] {
    if (endpoint->is_cut_off()) {
      store_->Delete(endpoint->key());
    }
  });
}

void SoakRun::FailEndpoint() {
  auto* const endpoint = AnyEndpoint();
  if (endpoint == nullptr) {
    return;
  }
  const auto time = FaultTime(kFaultSpread);
  world_.Say("requests fail at " + endpoint->key());
  endpoint->FailUntil(world_.Now() + time);
}

void SoakRun::Replace(const std::string& service, const std::string& zone,
                      Duration after) {
  world_.After(after, [this, service, zone] { AddEndpoint(service, zone); });
}

void SoakRun::ChangeRoutes() {
  auto address = SpareRoute(world_.random().Below(kSpareRoutes));
  if (!spare_.empty() && world_.random().Chance(0.5)) {
    const auto place = world_.random().Below(spare_.size());
    address =
        std::next(spare_.begin(), static_cast<std::ptrdiff_t>(place))->first;
  }
  if (spare_.erase(address) > 0) {
    removed_[address] = world_.Now();
  } else {
    spare_[address] = world_.Now();
    removed_.erase(address);
  }
  std::erase(changed_, address);
  changed_.push_back(address);
  if (changed_.size() > kProbedRoutes) {
    changed_.pop_front();
  }
  Publish();
}

void SoakRun::StoreFault() {
  const auto time = FaultTime(kFaultSpread);
  store_calm_.DisturbUntil(world_.Now() + time);
  if (world_.random().Chance(0.4)) {
    world_.Say("the store forgets its history");
    store_->Compact();
    return;
  }
  world_.Say("the store refuses");
  RefuseCalls(time);
}

void SoakRun::RefuseCalls(Duration time) {
  refusing_until_ = std::max(refusing_until_, world_.Now() + time);
  store_->SetRefusing(true);
  world_.After(time, [this] {
    if (world_.Now() >= refusing_until_) {
      store_->SetRefusing(false);
    }
  });
}

// The store is away for a moment and comes back from an older copy. What was
// written meanwhile is lost too.
void SoakRun::RestoreStore() {
  const auto time = kShortestAway + world_.random().DurationBelow(kAwaySpread);
  const auto older = world_.random().Below(store_->copies());
  world_.Say("the store goes away, to come back from copy " +
             std::to_string(older) + " before its newest");
  // As many writes as a larger fleet makes, so that the revisions fall far
  // back.
  for (auto write = 0; write < kLostWrites; ++write) {
    WriteForeignEntry();
  }
  world_.After(kLostWritesTime, [this, time, older] {
    store_calm_.DisturbUntil(world_.Now() + time);
    world_.After(time, [this, older] {
      world_.Say("the store comes back");
      store_->Restore(older);
      evacuations_->OnRestore();
      WriteAgain();
    });
    RefuseCalls(time);
    store_->CutWatches(503);
  });
}

// After a restore the operator repeats its newest configuration and goes on,
// endpoints write at their next beats, and entries of others lapse.
void SoakRun::WriteAgain() {
  for (const auto& endpoint : endpoints_) {
    Expire(endpoint->key(), world_.Now());
  }
  world_.After(evacuation_random_.DurationBelow(kEvacuateAgainTime),
               [this] { evacuations_->WriteAgain(); });
  const auto time = world_.random().DurationBelow(kWriteAgainTime);
  world_.After(time, [this] {
    store_->Put("op/config", config_);
    world_.After(world_.random().DurationBelow(kWriteAgainTime),
                 [this] { ChangeRoutes(); });
  });
}

void SoakRun::LinkFaultAction() {
  const auto index = AnyEdge();
  auto& edge = edges_->at(index);
  const auto time = FaultTime(kFaultSpread);
  const auto is_store = world_.random().Chance(0.5);
  auto* const proxy =
      is_store ? edge.store.get()
               : edge.relays[world_.random().Below(edge.relays.size())].get();
  edge.calm.DisturbUntil(world_.Now() + time);
  const auto kind = world_.random().Below(5);
  world_.Say("link fault " + std::to_string(kind) + " on edge-" +
             std::to_string(index));
  if (kind == 4) {
    proxy->SilenceOpen();
    return;
  }
  constexpr auto kFaults = std::array{LinkFault::kDelay, LinkFault::kSilence,
                                      LinkFault::kNoAnswers, LinkFault::kReset};
  proxy->Set(kFaults.at(kind),
             std::chrono::milliseconds(world_.random().Below(600)));
  world_.After(time, [proxy] { proxy->Set(LinkFault::kNone); });
}

void SoakRun::LossFault() {
  const auto index = AnyEdge();
  auto& edge = edges_->at(index);
  const auto time = FaultTime(kFaultSpread);
  edge.loss = world_.random().Chance(0.3) ? 1.0 : 0.05;
  edge.calm.DisturbUntil(world_.Now() + time);
  // The endpoints behind these links are disturbed too.
  for (const auto& endpoint : endpoints_) {
    endpoint->calm().DisturbUntil(world_.Now() + time);
  }
  world_.Say("packets of edge-" + std::to_string(index) + " are lost");
  world_.After(time, [&edge] { edge.loss = 0; });
}

void SoakRun::WriteForeignEntry() {
  store_->Put("servers/i-feedfeed", R"({"service":"feed","address":7})");
}

// Entries of another writer, and a value that cannot be read.
void SoakRun::WriteTraps() {
  world_.Say("foreign entries in the store");
  WriteForeignEntry();
  store_->Put("servers/unreadable", "\xff\xfe");
  store_->Put("servers/i-1234", R"({"service":"feed","state":"ready"})");
  constexpr auto kLevels = std::size_t{10'000};
  store_->Put("servers/i-1235", std::string(kLevels, '['));
  store_->Put("servers/i-1236 &after=x#%", R"({"slots":1e400})");
  store_->Put("servers/i-1237",
              R"({"service":"feed","address":"127.0.0.1:70000","zone":"z",)"
              R"("version":"v1","slots":1,"state":"ready",)"
              R"("coldRemainingMs":0,"sequence":1})");
}

// Ends all faults, lets the system settle, and looks whether all is served.
void SoakRun::Finish() {
  world_.Say("all faults are over");
  store_->SetRefusing(false);
  evacuations_->EndAll();
  for (auto index = std::size_t{0}; index < edges_->size(); ++index) {
    auto& edge = edges_->at(index);
    edge.loss = 0;
    edge.store->Set(LinkFault::kNone);
    for (const auto& relay : edge.relays) {
      relay->Set(LinkFault::kNone);
    }
  }
  world_.After(kRecoverTime, [this] { recovered_ = true; });
  world_.After(kRecoverTime + kCheckTime, [this] {
    const auto all = static_cast<double>(served_after_ + failed_after_);
    if (all == 0 || static_cast<double>(served_after_) < kServedAfter * all) {
      world_.Break("all is served again after the faults",
                   std::to_string(failed_after_) + " of " +
                       std::to_string(served_after_ + failed_after_) +
                       " failed");
    }
    if (settings_.planned_only && failed_ > 0) {
      world_.Break("planned work costs no request", std::to_string(failed_));
    }
    for (const auto& caller : callers_) {
      caller->Stop();
    }
    edges_->Stop();
    world_.context().stop();
  });
}

void SoakRun::Report() const {
  std::cout << "seed " << settings_.seed << ": served " << served_
            << ", failed " << failed_ << ", calls to the store "
            << store_->calls();
  for (const auto& [name, count] : world_.counts()) {
    std::cout << ", " << name << " " << count;
  }
  std::cout << "\n";
}

}  // namespace hemlockwick::soak
