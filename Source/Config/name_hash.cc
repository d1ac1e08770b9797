#include "Config/name_hash.h"

#include <unordered_map>

#include "Core/hash.h"

namespace hemlockwick {

auto HashName(std::string_view name) -> std::uint64_t {
  return HashBytes(name);
}

void ReportHashCollisions(const std::string& kind,
                          const std::vector<const NamedObject*>& objects,
                          NameHash hash, Findings& findings) {
  auto by_hash = std::unordered_map<std::uint64_t, const NamedObject*>();
  by_hash.reserve(objects.size());
  for (const auto* object : objects) {
    const auto [first, added] = by_hash.emplace(hash(object->name), object);
    if (added || first->second->name == object->name) {
      continue;
    }
    findings.push_back(
        Finding{Severity::kError, object->place, kind + " " + object->name,
                "its name has the same hash as '" + first->second->name + "'",
                "rename one of them"});
  }
}

}  // namespace hemlockwick
