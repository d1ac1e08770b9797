#ifndef HEMLOCKWICK_CONFIG_NAME_INDEX_H_
#define HEMLOCKWICK_CONFIG_NAME_INDEX_H_

#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Config/nearest_name.h"
#include "Config/objects.h"
#include "Core/finding.h"

namespace hemlockwick {

// Index of the objects of one kind by name. Reports duplicate names and
// references to unknown names. The objects must outlive the index.
template <typename Object>
class NameIndex {
 public:
  // Indexes `objects` and reports duplicate names. Objects without a valid name
  // are not indexed.
  NameIndex(std::string kind, const std::vector<Object>& objects,
            Findings& findings)
      : kind_(std::move(kind)) {
    by_name_.reserve(objects.size());
    for (const auto& object : objects) {
      Add(object, findings);
    }
  }

  // Returns null when there is no such object.
  [[nodiscard]] auto Find(std::string_view name) const -> const Object* {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
  }

  // Like Find, but reports a reference to a name that no object has; `object`
  // is the referring object. References without a source location are not
  // reported: they are missing from the file, which has already been reported.
  auto Resolve(const Reference& reference, const std::string& object,
               Findings& findings) const -> const Object* {
    const auto* const found = Find(reference.name);
    if (found == nullptr && !reference.place.file.empty()) {
      findings.push_back(Finding{Severity::kError, reference.place, object,
                                 "refers to " + kind_ + " '" + reference.name +
                                     "', which does not exist",
                                 Suggest(reference.name)});
    }
    return found;
  }

  [[nodiscard]] auto kind() const -> const std::string& { return kind_; }

 private:
  void Add(const Object& object, Findings& findings) {
    if (object.name.empty()) {
      return;
    }
    const auto [first, added] = by_name_.emplace(object.name, &object);
    if (added) {
      return;
    }
    const auto& place = first->second->place;
    findings.push_back(Finding{Severity::kError, object.place,
                               kind_ + " " + object.name,
                               "the name is already used at " + place.file +
                                   ":" + std::to_string(place.line),
                               "rename one of them"});
  }

  [[nodiscard]] auto Suggest(std::string_view name) const -> std::string {
    auto names = std::vector<std::string>();
    names.reserve(by_name_.size());
    for (const auto& [known, object] : by_name_) {
      names.emplace_back(known);
    }
    const auto nearest = NearestName(name, names);
    return nearest.empty() ? "define it or remove the reference"
                           : "did you mean '" + nearest + "'?";
  }

  std::string kind_;
  std::unordered_map<std::string_view, const Object*> by_name_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_NAME_INDEX_H_
