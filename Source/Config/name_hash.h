#ifndef HEMLOCKWICK_CONFIG_NAME_HASH_H_
#define HEMLOCKWICK_CONFIG_NAME_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// Returns the hash of a name, which is the value of the named object's id.
[[nodiscard]] auto HashName(std::string_view name) -> std::uint64_t;

using NameHash = std::uint64_t (*)(std::string_view);

// Reports objects of one kind whose names differ but have the same hash,
// because their ids would be equal.
void ReportHashCollisions(const std::string& kind,
                          const std::vector<const NamedObject*>& objects,
                          NameHash hash, Findings& findings);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_NAME_HASH_H_
