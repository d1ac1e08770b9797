#ifndef HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_

#include <compare>
#include <cstddef>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "Core/strong_id.h"
#include "Flow/endpoint_directory.h"
#include "Flow/evacuation_list.h"

namespace hemlockwick {

// Number of the platform's history. It rises when the platform has lost changes
// that it had confirmed, for example because its store was restored from a
// copy: from then on revisions are given out again. Zero: not told.
using Era = StrongId<struct EraTag>;

// Position in the platform's changes. Revisions of two eras do not compare.
struct Position {
  Era era;
  Revision revision;

  friend constexpr auto operator<=>(const Position&, const Position&)
      -> std::strong_ordering = default;
};

// Changes of the platform's directory of endpoints up to a revision. Lists each
// entry once, with its latest state.
struct DirectoryUpdate {
  bool is_whole = false;  // The complete directory instead of changes.
  // Not whole: lists how two directories differ instead of each change between
  // them, so it does not lead there from a position in between.
  bool is_difference = false;
  Position position;  // The next watch continues from here.
  std::vector<EndpointReport> reports;
  std::vector<EntryRef> removed;
  std::vector<EntryRef> unreadable;        // Entries that could not be decoded.
  std::shared_ptr<const RouteSet> routes;  // Null when unchanged.
  // Evacuations of data centres, each data centre once; of a whole update those
  // in force, otherwise those that have changed.
  std::vector<Evacuation> evacuations;
  // Whether `evacuations` is complete. Not after an answer of a relay of an
  // earlier version, which tells none.
  bool has_all_evacuations = true;
  std::size_t ignored = 0;  // Entries that could not be decoded.

  [[nodiscard]] auto has_changes() const -> bool {
    return !reports.empty() || !removed.empty() || !unreadable.empty() ||
           routes != nullptr || !evacuations.empty();
  }

  // Merges a later update, which must not be whole.
  void Append(const DirectoryUpdate& later);
};

// Calls `visit` with each entry in the update.
template <typename Visit>
void ForEachEntry(const DirectoryUpdate& update, Visit&& visit) {
  for (const auto& report : update.reports) {
    visit(report.Ref());
  }
  for (const auto& ref : update.removed) {
    visit(ref);
  }
  for (const auto& ref : update.unreadable) {
    visit(ref);
  }
}

// Merges successive updates into one that is not whole, in time linear in the
// entries and data centres that they list.
class UpdateMerger {
 public:
  // Adds an update that is older than all those added before.
  void AddOlder(const DirectoryUpdate& older);

  [[nodiscard]] auto Take() -> DirectoryUpdate { return std::move(merged_); }

 private:
  DirectoryUpdate merged_;
  EntrySet seen_;
  std::unordered_set<std::string> seen_data_centres_;
};

// The changes that lead from one whole update to a later one.
[[nodiscard]] auto DifferenceOf(const DirectoryUpdate& before,
                                const DirectoryUpdate& after)
    -> DirectoryUpdate;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
