#include "Flow/endpoint_directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace hemlockwick {

namespace {

// Time after the end of a platform outage within which an endpoint may report
// again. The platform guarantees two seconds; the rest allows for a late read.
constexpr Duration kReturnGracePeriod = std::chrono::milliseconds(2500);

// Time after a restore of the platform within which its writers have repeated
// what was lost, and the entries of endpoints that have left have expired
// again: more than three heartbeats.
constexpr Duration kDeferPeriod = std::chrono::seconds(5);

// Departed endpoints are kept for this long; by then their flows have ended.
constexpr Duration kDepartedRetention = std::chrono::seconds(60);

// Of two endpoints with the same token, prefers one of the route's targets.
// `best` may be null.
template <typename Item>
auto Preferred(const Item* best, const Item& other, const Route& route)
    -> const Item* {
  return best == nullptr || IsTarget(route, other.report.service) ? &other
                                                                  : best;
}

// Whether of two entries that name one endpoint the left one is its own.
auto IsOwnEntry(const EndpointReport& left, const EndpointReport& right)
    -> bool {
  return std::tuple(left.entry_created, left.entry) <
         std::tuple(right.entry_created, right.entry);
}

}  // namespace

DirectorySnapshot::DirectorySnapshot(
    EndpointIndex endpoints, std::vector<DepartedEndpoint> departed,
    std::shared_ptr<const RouteTable> routes,
    std::shared_ptr<const EvacuatedDataCentres> evacuated, bool is_settled,
    std::uint64_t sequence, TimePoint made_at)
    : endpoints_(std::move(endpoints)),
      departed_(std::move(departed)),
      routes_(std::move(routes)),
      evacuated_(std::move(evacuated)),
      is_settled_(is_settled),
      sequence_(sequence),
      made_at_(made_at) {
  for (auto index = std::uint32_t{0}; index < departed_.size(); ++index) {
    departed_by_token_.emplace(departed_[index].token, index);
  }
}

auto DirectorySnapshot::Resolve(FlowToken token, const Route& route,
                                TimePoint now) const -> ResolvedToken {
  auto is_foreign = false;
  const auto may_serve = [&](const auto& endpoint) {
    const auto may = routes_->MayServe(route, endpoint.report.service, now);
    is_foreign = is_foreign || !may;
    return may;
  };
  const DirectoryEndpoint* present = nullptr;
  endpoints_.ForEach(token, [&](const DirectoryEndpoint& endpoint) {
    present =
        may_serve(endpoint) ? Preferred(present, endpoint, route) : present;
  });
  const DepartedEndpoint* departed = nullptr;
  const auto [begin, end] = departed_by_token_.equal_range(token);
  for (auto found = begin; found != end; ++found) {
    const auto& endpoint = departed_[found->second];
    departed =
        may_serve(endpoint) ? Preferred(departed, endpoint, route) : departed;
  }
  if (present == nullptr && departed == nullptr) {
    return is_foreign ? ResolvedToken(ForeignEndpoint()) : ResolvedToken();
  }
  const auto departed_fits =
      departed != nullptr && IsTarget(route, departed->report.service);
  if (present == nullptr ||
      (departed_fits && !IsTarget(route, present->report.service))) {
    return departed;
  }
  return present;
}

auto DirectorySnapshot::Find(FlowToken token) const
    -> const DirectoryEndpoint* {
  const DirectoryEndpoint* any = nullptr;
  endpoints_.ForEach(
      token, [&any](const DirectoryEndpoint& endpoint) { any = &endpoint; });
  return any;
}

auto DirectorySnapshot::FindDeparted(FlowToken token) const
    -> const DepartedEndpoint* {
  const auto found = departed_by_token_.find(token);
  return found == departed_by_token_.end() ? nullptr
                                           : &departed_[found->second];
}

auto DirectorySnapshot::FindRoute(const SocketAddress& address) const
    -> const Route* {
  return routes_ == nullptr ? nullptr : routes_->Find(address);
}

auto DirectorySnapshot::EvacuatedSince(DataCentreId data_centre) const
    -> std::optional<TimePoint> {
  const auto found = evacuated_->find(data_centre);
  return found == evacuated_->end() ? std::nullopt
                                    : std::optional(found->second);
}

auto DirectorySnapshot::IsEvacuated(ServiceId service) const -> bool {
  const auto endpoints = endpoints_.EndpointsOf(service);
  return !endpoints.empty() &&
         std::ranges::all_of(endpoints, [this](const auto& endpoint) {
           return EvacuatedSince(endpoint->report.data_centre).has_value();
         });
}

auto DirectorySnapshot::ColdOpeningsPerSecond(ServiceId service) const
    -> double {
  return routes_ == nullptr ? 0 : routes_->ColdOpeningsPerSecond(service);
}

auto DirectorySnapshot::version() const -> Version {
  return routes_ == nullptr ? Version() : routes_->routes()->version;
}

auto ToString(DirectoryEvent::Kind kind) -> std::string {
  switch (kind) {
    case DirectoryEvent::Kind::kEndpointAdded:
      return "endpoint_added";
    case DirectoryEvent::Kind::kEndpointDraining:
      return "endpoint_draining";
    case DirectoryEvent::Kind::kEndpointWithheld:
      return "endpoint_withheld";
    case DirectoryEvent::Kind::kEndpointMissing:
      return "endpoint_missing";
    case DirectoryEvent::Kind::kEndpointReturned:
      return "endpoint_returned";
    case DirectoryEvent::Kind::kEndpointDeparted:
      return "endpoint_departed";
    case DirectoryEvent::Kind::kEndpointShadowed:
      return "endpoint_shadowed";
    case DirectoryEvent::Kind::kRoutesInForce:
      return "routes_in_force";
  }
  return "unknown";
}

void EndpointDirectory::Report(const EndpointReport& report) {
  ForgetRival(report.Ref());
  if (auto* const rival = Rival(report)) {
    if (!IsOwnEntry(report, rival->report)) {
      SetAside(report);
      return;
    }
    SetAside(rival->report);
  }
  if (defers_until_ && IsOutdated(report)) {
    deferred_[report.id] = report;
    return;
  }
  deferred_.erase(report.id);
  Accept(report);
}

// The endpoint of the report, if it is known by another entry.
auto EndpointDirectory::Rival(const EndpointReport& report) -> Entry* {
  const auto found = entries_.find(report.id);
  return found == entries_.end() ||
                 MayBeSame(found->second.report.entry, report.entry)
             ? nullptr
             : &found->second;
}

void EndpointDirectory::SetAside(const EndpointReport& report) {
  rivals_.push_back(report);
  AddEvent(DirectoryEvent::Kind::kEndpointShadowed, report.id);
}

void EndpointDirectory::ForgetRival(const EntryRef& ref) {
  std::erase_if(rivals_, [&ref](const EndpointReport& report) {
    return report.Ref() == ref;
  });
}

// Puts the endpoint in use again by the first of the other entries that name
// it.
void EndpointDirectory::AcceptRivalOf(EndpointId departed) {
  auto best = rivals_.end();
  for (auto rival = rivals_.begin(); rival != rivals_.end(); ++rival) {
    const auto is_better = best == rivals_.end() || IsOwnEntry(*rival, *best);
    best = rival->id == departed && is_better ? rival : best;
  }
  if (best != rivals_.end()) {
    const auto report = *best;
    rivals_.erase(best);
    Accept(report);
  }
}

// Whether the report may be of a time before the endpoint drained or departed.
auto EndpointDirectory::IsOutdated(const EndpointReport& report) const -> bool {
  const auto found = entries_.find(report.id);
  if (found != entries_.end()) {
    return found->second.report.draining && !report.draining;
  }
  return std::ranges::any_of(departed_, [&](const auto& endpoint) {
    return endpoint.report.id == report.id && endpoint.since <= restored_at_;
  });
}

// Accepts the deferred reports once the platform's entries are up to date.
void EndpointDirectory::AcceptDeferred(TimePoint now) {
  if (!defers_until_ || now < *defers_until_) {
    return;
  }
  defers_until_.reset();
  for (const auto& [endpoint, report] : std::exchange(deferred_, {})) {
    Accept(report);
  }
}

void EndpointDirectory::Accept(const EndpointReport& report) {
  const auto [found, is_new] = entries_.try_emplace(report.id);
  auto& entry = found->second;
  if (is_new) {
    entry.report = report;
    std::erase_if(departed_, [&report](const auto& endpoint) {
      return endpoint.report.id == report.id;
    });
    AddEvent(DirectoryEvent::Kind::kEndpointAdded, report.id);
  }
  const auto was_withheld = std::exchange(entry.withheld, false);
  const auto was_missing = std::exchange(entry.missing, false);
  if (was_missing) {
    AddEvent(DirectoryEvent::Kind::kEndpointReturned, report.id);
  }
  if (report.draining && (is_new || !entry.report.draining)) {
    AddEvent(DirectoryEvent::Kind::kEndpointDraining, report.id);
  }
  if (is_new || was_withheld || was_missing || entry.report != report) {
    entry.report = report;
    UpdateIndex(entry);
  }
}

// Updates the endpoint in the index from which snapshots are made.
void EndpointDirectory::UpdateIndex(const Entry& entry) {
  const auto accepts_new_flows =
      !entry.missing && !entry.withheld && !entry.report.draining;
  index_.Put({entry.report, TokenOf(entry.report.id), accepts_new_flows});
  changed_ = true;
}

void EndpointDirectory::Remove(const EntryRef& ref, TimePoint now) {
  ForgetRival(ref);
  std::erase_if(deferred_, [&ref](const auto& deferred) {
    return deferred.first == ref.endpoint &&
           MayBeSame(deferred.second.entry, ref.entry);
  });
  const auto found = entries_.find(ref.endpoint);
  if (found == entries_.end() || found->second.missing ||
      !MayBeSame(found->second.report.entry, ref.entry)) {
    return;
  }
  found->second.missing = true;
  found->second.missing_since = now;
  UpdateIndex(found->second);
  AddEvent(DirectoryEvent::Kind::kEndpointMissing, ref.endpoint);
}

void EndpointDirectory::Withhold(const EntryRef& ref) {
  ForgetRival(ref);
  const auto found = entries_.find(ref.endpoint);
  if (found != entries_.end() && !found->second.withheld &&
      MayBeSame(found->second.report.entry, ref.entry)) {
    found->second.withheld = true;
    UpdateIndex(found->second);
    AddEvent(DirectoryEvent::Kind::kEndpointWithheld, ref.endpoint);
  }
}

void EndpointDirectory::RemoveOthers(const EntrySet& present, TimePoint now) {
  std::erase_if(deferred_, [&present](const auto& entry) {
    return !present.Contains(entry.second.Ref());
  });
  std::erase_if(rivals_, [&present](const EndpointReport& report) {
    return !present.Contains(report.Ref());
  });
  for (const auto& [endpoint, entry] : entries_) {
    if (!present.Contains(entry.report.Ref())) {
      Remove(entry.report.Ref(), now);
    }
  }
}

auto EndpointDirectory::Publish(std::shared_ptr<const RouteSet> routes,
                                TimePoint now) -> bool {
  if (routes_ != nullptr && routes->version <= routes_->routes()->version) {
    return false;
  }
  events_.push_back(
      {DirectoryEvent::Kind::kRoutesInForce, EndpointId(), routes->version});
  routes_ =
      std::make_shared<const RouteTable>(std::move(routes), routes_.get(), now);
  changed_ = true;
  return true;
}

void EndpointDirectory::OnPlatformLost() { platform_lost_ = true; }

void EndpointDirectory::OnPlatformBack(TimePoint end) {
  platform_lost_ = false;
  outage_end_ = std::max(outage_end_, end);
  had_outage_ = true;
}

void EndpointDirectory::OnPlatformRestored(TimePoint now) {
  OnPlatformBack(now);
  defers_until_ = now + kDeferPeriod;
  evacuations_.DeferEndsUntil(*defers_until_);
  restored_at_ = now;
}

auto EndpointDirectory::MayStillReturn(const Entry& entry, TimePoint now) const
    -> bool {
  return !IsSettled(now) &&
         (platform_lost_ ||
          entry.missing_since < outage_end_ + kReturnGracePeriod);
}

auto EndpointDirectory::IsSettled(TimePoint now) const -> bool {
  return !platform_lost_ &&
         (!had_outage_ || now >= outage_end_ + kReturnGracePeriod);
}

void EndpointDirectory::OnTick(TimePoint now) {
  const auto was_settled = std::exchange(is_settled_, IsSettled(now));
  changed_ = changed_ || was_settled != is_settled_;
  AcceptDeferred(now);
  evacuations_.OnTick(now);
  auto departed = std::vector<EndpointId>();
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (!entry->second.missing || MayStillReturn(entry->second, now)) {
      ++entry;
      continue;
    }
    departed_.push_back({entry->second.report, TokenOf(entry->first), now,
                         entry->second.missing_since});
    AddEvent(DirectoryEvent::Kind::kEndpointDeparted, entry->first);
    index_.Remove(entry->first);
    departed.push_back(entry->first);
    entry = entries_.erase(entry);
  }
  for (const auto endpoint : departed) {
    AcceptRivalOf(endpoint);
  }
  std::erase_if(departed_, [now](const auto& endpoint) {
    return now - endpoint.since >= kDepartedRetention;
  });
}

auto EndpointDirectory::IsUsable() const -> bool {
  return routes_ != nullptr && !entries_.empty();
}

auto EndpointDirectory::TakeSnapshot(TimePoint now)
    -> std::shared_ptr<const DirectorySnapshot> {
  const auto evacuated = evacuations_.Current();
  const auto was_evacuated = std::exchange(published_evacuations_, evacuated);
  if (!std::exchange(changed_, false) && evacuated == was_evacuated) {
    return nullptr;
  }
  for (const auto endpoint : index_.Commit()) {
    events_.push_back(
        {DirectoryEvent::Kind::kEndpointShadowed, endpoint, Version()});
  }
  return std::make_shared<const DirectorySnapshot>(
      index_, departed_, routes_, evacuated, is_settled_, ++sequence_, now);
}

auto EndpointDirectory::TakeEvents() -> std::vector<DirectoryEvent> {
  return std::exchange(events_, {});
}

void EndpointDirectory::AddEvent(DirectoryEvent::Kind kind,
                                 EndpointId endpoint) {
  changed_ = true;
  events_.push_back({kind, endpoint, Version()});
}

}  // namespace hemlockwick
