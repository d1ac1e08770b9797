#ifndef HEMLOCKWICK_FLOW_ENTRY_REF_H_
#define HEMLOCKWICK_FLOW_ENTRY_REF_H_

#include <algorithm>
#include <initializer_list>
#include <unordered_map>
#include <vector>

#include "Core/ids.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// Identifies an entry of the platform, by its whole key. Several entries may
// name one endpoint, and only one of them is the endpoint's own. Zero: not
// told, by an instance of an earlier version.
using EntryId = StrongId<struct EntryTag>;

// An entry of the platform and the endpoint that it names.
struct EntryRef {
  // NOLINTNEXTLINE(google-explicit-constructor): an entry that is not told.
  constexpr EntryRef(EndpointId named) : endpoint(named) {}
  constexpr EntryRef(EndpointId named, EntryId key)
      : endpoint(named), entry(key) {}

  EndpointId endpoint;
  EntryId entry;

  friend constexpr auto operator==(const EntryRef&, const EntryRef&)
      -> bool = default;
};

// Whether both may be the same entry: one that is not told may be any.
[[nodiscard]] constexpr auto MayBeSame(EntryId left, EntryId right) -> bool {
  return left == right || left == EntryId() || right == EntryId();
}

// A set of entries.
class EntrySet {
 public:
  EntrySet() = default;
  EntrySet(std::initializer_list<EntryRef> entries) {
    for (const auto& entry : entries) {
      Add(entry);
    }
  }

  void Add(const EntryRef& ref) { entries_[ref.endpoint].push_back(ref.entry); }

  // Whether the entry may be in the set.
  [[nodiscard]] auto Contains(const EntryRef& ref) const -> bool {
    const auto found = entries_.find(ref.endpoint);
    return found != entries_.end() &&
           std::ranges::any_of(found->second, [&ref](EntryId entry) {
             return MayBeSame(entry, ref.entry);
           });
  }

 private:
  std::unordered_map<EndpointId, std::vector<EntryId>> entries_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_ENTRY_REF_H_
