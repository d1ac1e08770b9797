#ifndef HEMLOCKWICK_REQUEST_KEY_HOMES_H_
#define HEMLOCKWICK_REQUEST_KEY_HOMES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"

namespace hemlockwick {

// Data centres that hold a key. A claim needs a majority of them.
inline constexpr std::size_t kKeyDataCentres = 3;

// Highest-ranked members of a data centre that can be homes of a key.
inline constexpr std::size_t kMaxHomesPerGroup = 4;

// Longest time for which the views and clocks of two instances that reach one
// another differ.
inline constexpr Duration kMaxViewLag = std::chrono::seconds(30);

// The homes of a key in one data centre. Each has to note a claim, and one of
// them to grant it, for the data centre to count.
struct KeyHomeGroup {
  DataCentreId data_centre;
  std::vector<InstanceId> instances;  // Empty when none is serving.
};

// The homes of a key by one instance's view.
struct KeyHomeSet {
  std::vector<KeyHomeGroup> groups;
  std::size_t quorum = 1;  // Groups that have to grant a claim.
};

// The data centres that hold the keys of a service: a function of the
// configuration alone, so that a partition does not change it. They lie in
// the region of the service's endpoints.
[[nodiscard]] auto KeyDataCentres(const FleetConfig& config,
                                  const Service& service, IdempotencyKey key)
    -> std::vector<DataCentreId>;

// Rank of a member among the homes of a key; the highest comes first.
[[nodiscard]] auto KeyRank(IdempotencyKey key, InstanceId member)
    -> std::uint64_t;

// Whether a home that has noted every claim since `since` knows all those
// whose memory has not ended.
[[nodiscard]] constexpr auto CoversKeyMemory(TimePoint since, Duration memory,
                                             TimePoint now) -> bool {
  return since + memory + kMaxViewLag <= now;
}

// The homes in the data centres: of each, the highest-ranked serving members
// down to the first one that is old enough to know all earlier claims, at most
// kMaxHomesPerGroup. Younger ones note claims so that they can take over.
[[nodiscard]] auto SelectKeyHomes(IdempotencyKey key, Duration memory,
                                  const std::vector<DataCentreId>& data_centres,
                                  const MemberView& view, TimePoint now)
    -> KeyHomeSet;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_HOMES_H_
