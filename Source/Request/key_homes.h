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

// Number of data centres that store a key. A claim needs a majority of them.
inline constexpr std::size_t kKeyDataCentres = 3;

// Largest number of homes of a key in one data centre.
inline constexpr std::size_t kMaxHomesPerGroup = 4;

// Longest time by which the views, and the clocks, of two instances that can
// reach each other differ.
inline constexpr Duration kMaxViewLag = std::chrono::seconds(30);

// The homes of a key in one data centre: the members that store its claims. For
// the data centre to count towards the quorum, every home has to record the
// claim and at least one has to grant it.
struct KeyHomeGroup {
  DataCentreId data_centre;
  std::vector<InstanceId> instances;  // Empty when none is serving.
};

// The homes of a key according to the view of one instance.
struct KeyHomeSet {
  std::vector<KeyHomeGroup> groups;
  std::size_t quorum = 1;  // Groups that must grant a claim.
};

// The data centres that store a key of the service. They depend on the
// configuration alone, so that a partition does not change them, and lie in the
// region of the service's endpoints.
[[nodiscard]] auto KeyDataCentres(const FleetConfig& config,
                                  const Service& service, IdempotencyKey key)
    -> std::vector<DataCentreId>;

// Rank of a member among the homes of a key, by rendezvous hashing. The highest
// rank comes first.
[[nodiscard]] auto KeyRank(IdempotencyKey key, InstanceId member)
    -> std::uint64_t;

// Whether a home that has recorded every claim since `since` knows all claims
// that must still be remembered. Such a home is called complete.
[[nodiscard]] constexpr auto CoversKeyMemory(TimePoint since, Duration memory,
                                             TimePoint now) -> bool {
  return since + memory + kMaxViewLag <= now;
}

// The homes in the data centres: in each, the highest-ranked serving members
// down to the first complete one, at most kMaxHomesPerGroup. The incomplete
// ones record claims so that they can take over.
[[nodiscard]] auto SelectKeyHomes(IdempotencyKey key, Duration memory,
                                  const std::vector<DataCentreId>& data_centres,
                                  const MemberView& view, TimePoint now)
    -> KeyHomeSet;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_HOMES_H_
