#include "Request/key_homes.h"

#include <algorithm>
#include <unordered_set>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

// The region whose data centres hold the service's keys.
auto KeyRegion(const FleetConfig& config, const Service& service) -> RegionId {
  auto used = std::unordered_set<DataCentreId>();
  for (const auto& endpoint : service.endpoints) {
    used.insert(endpoint.data_centre);
  }
  auto regions = std::vector<RegionId>();
  for (const auto& data_centre : config.data_centres) {
    if (used.empty() || used.contains(data_centre.id)) {
      regions.push_back(data_centre.region);
    }
  }
  return regions.empty() ? RegionId()
                         : *std::min_element(regions.begin(), regions.end());
}

// The serving members of a data centre that can be homes, highest-ranked first.
auto RankMembers(IdempotencyKey key, DataCentreId data_centre,
                 const MemberView& view) -> std::vector<const Member*> {
  auto members = std::vector<const Member*>();
  for (const auto& member : view.members) {
    if (member.data_centre == data_centre && IsServing(member.state)) {
      members.push_back(&member);
    }
  }
  const auto kept = std::min(members.size(), kMaxHomesPerGroup);
  std::partial_sort(
      members.begin(), members.begin() + static_cast<std::ptrdiff_t>(kept),
      members.end(), [key](const Member* left, const Member* right) {
        return KeyRank(key, left->id) > KeyRank(key, right->id);
      });
  members.resize(kept);
  return members;
}

}  // namespace

auto KeyRank(IdempotencyKey key, InstanceId member) -> std::uint64_t {
  return MixWords(key.value(), member.value());
}

auto KeyDataCentres(const FleetConfig& config, const Service& service,
                    IdempotencyKey key) -> std::vector<DataCentreId> {
  const auto region = KeyRegion(config, service);
  auto data_centres = std::vector<DataCentreId>();
  for (const auto& data_centre : config.data_centres) {
    if (data_centre.region == region) {
      data_centres.push_back(data_centre.id);
    }
  }
  std::sort(data_centres.begin(), data_centres.end(),
            [key](DataCentreId left, DataCentreId right) {
              return MixWords(key.value(), left.value()) >
                     MixWords(key.value(), right.value());
            });
  data_centres.resize(std::min(data_centres.size(), kKeyDataCentres));
  return data_centres;
}

auto SelectKeyHomes(IdempotencyKey key, Duration memory,
                    const std::vector<DataCentreId>& data_centres,
                    const MemberView& view, TimePoint now) -> KeyHomeSet {
  auto homes = KeyHomeSet();
  homes.quorum = data_centres.size() / 2 + 1;
  for (const auto data_centre : data_centres) {
    auto group = KeyHomeGroup{data_centre, {}};
    for (const auto* member : RankMembers(key, data_centre, view)) {
      group.instances.push_back(member->id);
      if (CoversKeyMemory(member->started, memory, now)) {
        break;
      }
    }
    homes.groups.push_back(std::move(group));
  }
  return homes;
}

}  // namespace hemlockwick
