#ifndef HEMLOCKWICK_CORE_IDS_H_
#define HEMLOCKWICK_CORE_IDS_H_

#include <cstdint>
#include <string_view>

#include "Core/hash.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// Identifiers of named objects are the 64-bit hash of the object's name, so
// that all instances and all versions agree on them. The configuration check
// rejects two names with one hash.
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

// Hash of a packet's 5-tuple. Includes the service's address, so that two
// services never share a flow key.
using FlowKey = StrongId<struct FlowKeyTag>;

// Position in a service's bucket table.
using BucketIndex = StrongId<struct BucketTag, std::uint32_t>;

// Number of a published configuration. Only rises.
using Version = StrongId<struct VersionTag>;

// Content hash of a published configuration.
using Digest = StrongId<struct DigestTag>;

// Returns the identifier of the object called `name`.
template <typename Id>
[[nodiscard]] auto IdFromName(std::string_view name) -> Id {
  return Id(HashBytes(name));
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_IDS_H_
