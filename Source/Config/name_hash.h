#ifndef HEMLOCKWICK_CONFIG_NAME_HASH_H_
#define HEMLOCKWICK_CONFIG_NAME_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// The hash behind every id of a named object.
[[nodiscard]] auto HashName(std::string_view name) -> std::uint64_t;

using NameHash = std::uint64_t (*)(std::string_view);

// Reports objects of one kind that have different names and one hash, so that
// their ids could not be told apart.
void ReportHashCollisions(const std::string& kind,
                          const std::vector<const NamedObject*>& objects,
                          NameHash hash, Findings& findings);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_NAME_HASH_H_
