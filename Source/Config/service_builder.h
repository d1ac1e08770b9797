#ifndef HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_
#define HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>

#include "Config/fleet_config.h"
#include "Config/object_checker.h"

namespace hemlockwick {

// Buckets per endpoint of a service that does not set `buckets`.
inline constexpr std::uint32_t kBucketsPerEndpoint = 64;
inline constexpr std::uint32_t kMinBuckets = 64;
inline constexpr std::uint32_t kMaxBuckets = 65'536;

// Maximum number of endpoint sets in a service's history.
inline constexpr std::size_t kMaxEndpointHistory = 256;

// How long an endpoint set is kept after its last flow has ended, because
// instances may receive its replacement late.
inline constexpr Duration kEndpointHistoryMargin = std::chrono::minutes(5);

// Ids of the data centres that are evacuated.
using DataCentreIdSet = std::unordered_set<DataCentreId>;

// Builds the service to be published at `published`. Takes from `previous`,
// which may be null, the number of buckets, the times at which endpoints
// entered their current state, and the endpoint sets that may still have flows.
// Appends the current set if it is new. Endpoints in an evacuated data centre
// are draining, so that earlier releases send them no new work either.
[[nodiscard]] auto BuildService(const PlacedService& placed,
                                const DataCentreIdSet& evacuated,
                                const Service* previous, Version version,
                                TimePoint published) -> Service;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_
