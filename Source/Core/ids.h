#ifndef HEMLOCKWICK_CORE_IDS_H_
#define HEMLOCKWICK_CORE_IDS_H_

#include <cstdint>
#include <string_view>

#include "Core/hash.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// The identifier of a named object is the 64-bit hash of its name, so that all
// instances and configuration versions agree on it. The configuration check
// rejects two names with the same hash.
using ServiceId = StrongId<struct ServiceTag>;
using EndpointId = StrongId<struct EndpointTag>;
using InstanceId = StrongId<struct InstanceTag>;
using DataCentreId = StrongId<struct DataCentreTag>;
using RegionId = StrongId<struct RegionTag>;
using CallerId = StrongId<struct CallerTag>;

// Identifies a request within the instance that accepted it.
using RequestId = StrongId<struct RequestTag>;

// Hash of the caller's Idempotency-Key together with its service.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;

// Hash of a packet's 5-tuple. The 5-tuple includes the service's address, so
// different services have different flow keys.
using FlowKey = StrongId<struct FlowKeyTag>;

// Position in a service's bucket table.
using BucketIndex = StrongId<struct BucketTag, std::uint32_t>;

// Number of a published configuration. Only increases.
using Version = StrongId<struct VersionTag>;

// Number of a change in the platform's history.
using Revision = StrongId<struct RevisionTag>;

// Content hash of a published configuration.
using Digest = StrongId<struct DigestTag>;

// Returns the identifier of the object called `name`.
template <typename Id>
[[nodiscard]] auto IdFromName(std::string_view name) -> Id {
  return Id(HashBytes(name));
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_IDS_H_
