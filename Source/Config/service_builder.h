#ifndef HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_
#define HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "Config/fleet_config.h"
#include "Config/object_checker.h"

namespace hemlockwick {

// Buckets for each endpoint of a service that states no number of its own.
inline constexpr std::uint32_t kBucketsPerEndpoint = 64;
inline constexpr std::uint32_t kMinBuckets = 64;
inline constexpr std::uint32_t kMaxBuckets = 65'536;

// Endpoint sets that a service can have at once.
inline constexpr std::size_t kMaxEndpointHistory = 256;

// Time for which an endpoint set is kept past the life of its last flow, for
// instances that learn of its replacement late.
inline constexpr Duration kEndpointHistoryMargin = std::chrono::minutes(5);

// Builds the service that is published at `published`. Takes over from
// `previous`, which may be null, the number of buckets, the times since when
// endpoints are in their state, and the endpoint sets whose flows may still
// live; adds the present set to them when it is new.
[[nodiscard]] auto BuildService(const PlacedService& placed,
                                const Service* previous, Version version,
                                TimePoint published) -> Service;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_SERVICE_BUILDER_H_
