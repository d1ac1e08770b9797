#include "Request/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Most endpoints that one instance uses in its own region, and in other
// regions.
constexpr std::size_t kRegionalWindow = 32;
constexpr std::size_t kRemoteWindow = 8;
// If less than this fraction of the candidates is usable, ejections are
// ignored.
constexpr double kPanicThreshold = 0.5;
constexpr double kPriorGain = 0.05;
constexpr double kMinPrior = 0.05;
constexpr double kMaxPrior = 0.95;

auto RegionOf(const FleetConfig& config, DataCentreId id) -> RegionId {
  const auto found =
      std::find_if(config.data_centres.begin(), config.data_centres.end(),
                   [id](const DataCentre& centre) { return centre.id == id; });
  return found == config.data_centres.end() ? RegionId() : found->region;
}

// Position of this instance among the serving members that use the same
// endpoints: those of its region, or of its data centre if the service may not
// use endpoints of other data centres.
struct MemberRank {
  std::size_t rank = 0;
  std::size_t count = 0;
};

auto RankAmongMembers(const FleetConfig& config, const MemberView& members,
                      bool may_spill) -> MemberRank {
  const auto region = RegionOf(config, members.data_centre);
  auto ranking = MemberRank();
  for (const auto& member : members.members) {
    const auto shares = may_spill
                            ? RegionOf(config, member.data_centre) == region
                            : member.data_centre == members.data_centre;
    if (!IsServing(member.state) || !shares) {
      continue;
    }
    if (member.id < members.self) {
      ++ranking.rank;
    }
    ++ranking.count;
  }
  ranking.count = std::max(ranking.count, ranking.rank + 1);
  return ranking;
}

// Number of slots that the ranges [first, last) and [begin, end) have in
// common.
auto Overlap(std::size_t first, std::size_t last, std::size_t begin,
             std::size_t end) -> std::uint32_t {
  const auto low = std::max(first, begin);
  const auto high = std::min(last, end);
  return high > low ? static_cast<std::uint32_t>(high - low) : 0;
}

}  // namespace

void EndpointPool::Update(const Service& service, const FleetConfig& config,
                          const MemberView& members) {
  for (auto& tracked : tracked_) {
    tracked.set_candidate(false);
    tracked.set_owned(0, 0);
  }
  const auto region = RegionOf(config, members.data_centre);
  auto regional = std::vector<const Endpoint*>();
  auto remote = std::vector<const Endpoint*>();
  for (const auto& endpoint : service.endpoints) {
    const auto is_home = endpoint.data_centre == members.data_centre;
    if (endpoint.state == EndpointState::kDraining ||
        (!service.contract.may_spill && !is_home)) {
      continue;
    }
    const auto is_near =
        is_home || RegionOf(config, endpoint.data_centre) == region;
    (is_near ? regional : remote).push_back(&endpoint);
  }
  const auto ranking =
      RankAmongMembers(config, members, service.contract.may_spill);
  AddRegional(regional, ranking.rank, ranking.count, members.data_centre);
  AssignSlots(regional, ranking.rank, ranking.count);
  const auto remote_first = remote.size() * ranking.rank / ranking.count;
  AddWindow(remote, remote_first, kRemoteWindow, Locality::kElsewhere);
  RemoveIdle();
}

auto EndpointPool::Find(EndpointId id) -> TrackedEndpoint* {
  const auto found = index_.find(id);
  return found == index_.end() ? nullptr : &tracked_[found->second];
}

auto EndpointPool::Usable(TimePoint now) const
    -> const std::vector<std::size_t>& {
  usable_.clear();
  auto elsewhere = std::size_t{0};
  for (const auto index : candidates_) {
    if (tracked_[index].IsEjected(now)) {
      continue;
    }
    if (tracked_[index].locality() == Locality::kElsewhere) {
      ++elsewhere;
    }
    usable_.push_back(index);
  }
  const auto enough = kPanicThreshold * static_cast<double>(candidates_.size());
  if (static_cast<double>(usable_.size()) < enough) {
    usable_ = candidates_;
    return usable_;
  }
  if (elsewhere > 0 && elsewhere < usable_.size()) {
    std::erase_if(usable_, [this](std::size_t index) {
      return tracked_[index].locality() == Locality::kElsewhere;
    });
  }
  return usable_;
}

void EndpointPool::OnProbe(bool accepted) {
  prior_ += kPriorGain * ((accepted ? 1.0 : 0.0) - prior_);
  prior_ = std::clamp(prior_, kMinPrior, kMaxPrior);
}

void EndpointPool::AddRegional(const std::vector<const Endpoint*>& endpoints,
                               std::size_t rank, std::size_t member_count,
                               DataCentreId home) {
  const auto count = std::min(endpoints.size(), kRegionalWindow);
  const auto first = endpoints.size() * rank / member_count;
  for (auto offset = std::size_t{0}; offset < count; ++offset) {
    const auto& endpoint = *endpoints[(first + offset) % endpoints.size()];
    AddOrUpdate(endpoint, endpoint.data_centre == home
                              ? Locality::kSameDataCentre
                              : Locality::kSameRegion);
  }
}

void EndpointPool::AddWindow(const std::vector<const Endpoint*>& endpoints,
                             std::size_t first, std::size_t count,
                             Locality locality) {
  for (auto offset = std::size_t{0}; offset < std::min(count, endpoints.size());
       ++offset) {
    AddOrUpdate(*endpoints[(first + offset) % endpoints.size()], locality);
  }
}

void EndpointPool::AssignSlots(const std::vector<const Endpoint*>& endpoints,
                               std::size_t rank, std::size_t member_count) {
  auto total = std::size_t{0};
  auto long_total = std::size_t{0};
  for (const auto* endpoint : endpoints) {
    total += endpoint->slots;
    long_total += endpoint->slots - std::min(endpoint->slots, 1U);
  }
  owned_slots_ =
      total * (rank + 1) / member_count - total * rank / member_count;
  owned_long_slots_ =
      long_total * (rank + 1) / member_count - long_total * rank / member_count;
  auto first = std::size_t{0};
  auto long_first = std::size_t{0};
  for (const auto* endpoint : endpoints) {
    const auto last = first + endpoint->slots;
    const auto long_last =
        long_first + endpoint->slots - std::min(endpoint->slots, 1U);
    if (auto* const tracked = Find(endpoint->id); tracked != nullptr) {
      tracked->set_owned(
          Overlap(first, last, total * rank / member_count,
                  total * (rank + 1) / member_count),
          Overlap(long_first, long_last, long_total * rank / member_count,
                  long_total * (rank + 1) / member_count));
    }
    first = last;
    long_first = long_last;
  }
}

void EndpointPool::AddOrUpdate(const Endpoint& endpoint, Locality locality) {
  if (auto* const known = Find(endpoint.id); known != nullptr) {
    known->Update(endpoint, locality);
    known->set_candidate(true);
    return;
  }
  index_.emplace(endpoint.id, tracked_.size());
  tracked_.emplace_back(endpoint, locality);
}

void EndpointPool::RemoveIdle() {
  std::erase_if(tracked_, [](const TrackedEndpoint& tracked) {
    return !tracked.IsCandidate() && tracked.in_flight() == 0;
  });
  index_.clear();
  candidates_.clear();
  for (auto index = std::size_t{0}; index < tracked_.size(); ++index) {
    index_.emplace(tracked_[index].id(), index);
    if (tracked_[index].IsCandidate()) {
      candidates_.push_back(index);
    }
  }
}

}  // namespace hemlockwick
