#include "Flow/service_table.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"
#include "Flow/flow_timing.h"

namespace hemlockwick {

namespace {

constexpr std::uint64_t kColdSeed = 0x636F6C64;

auto ById(const TableEndpoint& left, const TableEndpoint& right) -> bool {
  return left.id < right.id;
}

auto PresentEndpoint(const Endpoint& endpoint) -> TableEndpoint {
  auto entry = TableEndpoint();
  entry.id = endpoint.id;
  entry.address = endpoint.address;
  entry.data_centre = endpoint.data_centre;
  entry.weight = endpoint.weight;
  entry.cold = endpoint.state == EndpointState::kCold;
  entry.cold_since = endpoint.state_since;
  if (endpoint.state == EndpointState::kDraining) {
    entry.accepts_new_flows_until = endpoint.state_since + kDrainDelay;
  }
  return entry;
}

}  // namespace

ServiceTable::ServiceTable(std::shared_ptr<const Service> service,
                           std::vector<EndpointSet> past,
                           TimePoint published_at, TimePoint now)
    : service_(std::move(service)),
      past_(std::move(past)),
      published_at_(published_at) {
  DropEndedSets(now);
  CollectEndpoints();
  owners_ = Assign(SharesOf(*service_));
  for (const auto& set : past_) {
    auto owners = Assign(SharesOf(set));
    MarkUnsettled(owners);
    if (earliest_.empty()) {
      earliest_ = std::move(owners);
    }
  }
  if (unsettled_count_ == 0) {
    unsettled_.clear();
    earliest_.clear();
  }
  ScheduleActivations(now);
}

void ServiceTable::DropEndedSets(TimePoint now) {
  const auto life = service_->flow_lifetime + kActivationDelay;
  auto live = std::size_t{0};
  while (live < past_.size()) {
    const auto is_last = live + 1 == past_.size();
    const auto replaced = is_last ? published_at_ : past_[live + 1].published;
    if (now < replaced + life) {
      next_change_ = replaced + life;
      break;
    }
    ++live;
  }
  past_.erase(past_.begin(), past_.begin() + static_cast<std::ptrdiff_t>(live));
}

void ServiceTable::CollectEndpoints() {
  endpoints_.reserve(service_->endpoints.size());
  for (const auto& endpoint : service_->endpoints) {
    endpoints_.push_back(PresentEndpoint(endpoint));
  }
  std::sort(endpoints_.begin(), endpoints_.end(), ById);
  AddPastEndpoints();
}

void ServiceTable::AddPastEndpoints() {
  const auto present = endpoints_.size();
  // Newer sets first, so that the last known address of an endpoint counts.
  for (auto set = past_.rbegin(); set != past_.rend(); ++set) {
    for (const auto& endpoint : set->endpoints) {
      auto entry = TableEndpoint();
      entry.id = endpoint.id;
      entry.address = endpoint.address;
      entry.data_centre = endpoint.data_centre;
      entry.accepts_new_flows_until = published_at_ + kDrainDelay;
      endpoints_.push_back(entry);
    }
  }
  if (endpoints_.size() == present) {
    return;
  }
  std::stable_sort(endpoints_.begin(), endpoints_.end(), ById);
  const auto same = [](const TableEndpoint& left, const TableEndpoint& right) {
    return left.id == right.id;
  };
  endpoints_.erase(std::unique(endpoints_.begin(), endpoints_.end(), same),
                   endpoints_.end());
}

auto ServiceTable::Assign(const std::vector<BucketShare>& shares) const
    -> std::vector<OwnerIndex> {
  auto owners = MaglevAlgorithm::Assign(shares, BucketCountOf(*service_));
  auto positions = std::vector<OwnerIndex>();
  positions.reserve(shares.size());
  for (const auto& share : shares) {
    positions.push_back(Find(share.endpoint));
  }
  for (auto& owner : owners) {
    owner = owner == kNoOwner ? kNoOwner : positions[owner];
  }
  return owners;
}

void ServiceTable::MarkUnsettled(const std::vector<OwnerIndex>& owners) {
  unsettled_.resize(owners_.size());
  for (std::size_t bucket = 0; bucket < owners.size(); ++bucket) {
    // A past set without endpoints has no flows.
    const auto moved =
        owners[bucket] != kNoOwner && owners[bucket] != owners_[bucket];
    if (moved && !unsettled_[bucket]) {
      unsettled_[bucket] = true;
      ++unsettled_count_;
    }
  }
}

void ServiceTable::ScheduleActivations(TimePoint now) {
  const auto present_from = published_at_ + kActivationDelay;
  if (unsettled_count_ == 0 || now >= present_from) {
    return;
  }
  for (std::size_t i = 0; i < past_.size(); ++i) {
    const auto from = past_[i].published + kActivationDelay;
    const auto is_last = i + 1 == past_.size();
    const auto next =
        is_last ? present_from : past_[i + 1].published + kActivationDelay;
    if (next > now) {
      activations_.push_back({from, Assign(SharesOf(past_[i]))});
    }
  }
  next_change_ = std::min(next_change_, present_from);
}

auto ServiceTable::ActivatedOwner(std::uint32_t bucket, TimePoint now) const
    -> OwnerIndex {
  if (activations_.empty() || now >= published_at_ + kActivationDelay) {
    return owners_[bucket];
  }
  auto owner = activations_.front().owners[bucket];
  for (const auto& activation : activations_) {
    if (activation.from <= now) {
      owner = activation.owners[bucket];
    }
  }
  return owner == kNoOwner ? owners_[bucket] : owner;
}

auto ServiceTable::AcceptsNewFlows(OwnerIndex owner, TimePoint now) const
    -> bool {
  return owner != kNoOwner && now < endpoints_[owner].accepts_new_flows_until;
}

auto ServiceTable::IsWarmEnough(OwnerIndex owner, FlowKey flow,
                                TimePoint now) const -> bool {
  constexpr auto kSteps = std::uint64_t{1000};
  const auto& endpoint = endpoints_[owner];
  if (!endpoint.cold) {
    return true;
  }
  const auto age = static_cast<double>((now - endpoint.cold_since).count());
  const auto share = std::max(kInitialColdShare,
                              age / static_cast<double>(kSlowStart.count()));
  const auto drawn = MixWords(flow.value(), kColdSeed) % kSteps;
  return static_cast<double>(drawn) < share * static_cast<double>(kSteps);
}

auto ServiceTable::OwnerOfNewFlow(std::uint32_t bucket, FlowKey flow,
                                  TimePoint now) const -> OwnerIndex {
  const auto owner = ActivatedOwner(bucket, now);
  if (!AcceptsNewFlows(owner, now)) {
    return kNoOwner;
  }
  if (IsSettled(bucket) || IsWarmEnough(owner, flow, now)) {
    return owner;
  }
  const auto earliest = EarliestOwnerOf(bucket);
  return AcceptsNewFlows(earliest, now) ? earliest : owner;
}

auto ServiceTable::ReachableOwner(std::uint32_t bucket,
                                  const std::vector<DataCentreId>& unreachable,
                                  TimePoint now) const -> OwnerIndex {
  auto shares = std::vector<BucketShare>();
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    const auto& endpoint = endpoints_[i];
    const auto reached = std::find(unreachable.begin(), unreachable.end(),
                                   endpoint.data_centre) == unreachable.end();
    const auto usable =
        reached && AcceptsNewFlows(static_cast<OwnerIndex>(i), now);
    shares.push_back({endpoint.id, usable ? endpoint.weight : 0});
  }
  return RendezvousOwner(shares, bucket);
}

auto ServiceTable::bytes() const -> std::size_t {
  constexpr auto kBitsPerByte = std::size_t{8};
  auto total = sizeof(ServiceTable);
  total += endpoints_.capacity() * sizeof(TableEndpoint);
  total += (owners_.capacity() + earliest_.capacity()) * sizeof(OwnerIndex);
  total += unsettled_.capacity() / kBitsPerByte;
  for (const auto& activation : activations_) {
    total += activation.owners.capacity() * sizeof(OwnerIndex);
  }
  for (const auto& set : past_) {
    total += set.endpoints.capacity() * sizeof(WeightedEndpoint);
  }
  return total;
}

auto ServiceTable::Find(EndpointId endpoint) const -> OwnerIndex {
  const auto found = std::lower_bound(
      endpoints_.begin(), endpoints_.end(), endpoint,
      [](const TableEndpoint& entry, EndpointId id) { return entry.id < id; });
  if (found == endpoints_.end() || found->id != endpoint) {
    return kNoOwner;
  }
  return static_cast<OwnerIndex>(found - endpoints_.begin());
}

}  // namespace hemlockwick
