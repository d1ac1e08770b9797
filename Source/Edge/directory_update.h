#ifndef HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>
#include <vector>

#include "Core/strong_id.h"
#include "Flow/endpoint_directory.h"

namespace hemlockwick {

// Position in the platform's history of changes.
using Revision = StrongId<struct RevisionTag>;

// Changes of the platform's directory up to a revision. Each endpoint is named
// once, with its latest state.
struct DirectoryUpdate {
  bool is_whole = false;  // Everything that the platform holds.
  Revision revision;      // Continue watching from here.
  std::vector<EndpointReport> reports;
  std::vector<EndpointId> removed;
  // Endpoints whose entry cannot be understood.
  std::vector<EndpointId> unreadable;
  std::shared_ptr<const RouteSet> routes;  // Null when they did not change.
  std::size_t ignored = 0;  // Entries that could not be understood.

  [[nodiscard]] auto has_changes() const -> bool {
    return !reports.empty() || !removed.empty() || !unreadable.empty() ||
           routes != nullptr;
  }

  // Adds a later update that is not whole.
  void Append(const DirectoryUpdate& later);
};

// Calls `visit` with each endpoint that the update names.
template <typename Visit>
void ForEachEndpoint(const DirectoryUpdate& update, Visit&& visit) {
  for (const auto& report : update.reports) {
    visit(report.id);
  }
  for (const auto endpoint : update.removed) {
    visit(endpoint);
  }
  for (const auto endpoint : update.unreadable) {
    visit(endpoint);
  }
}

// Joins updates that are not whole, in time linear in what they name.
class UpdateMerger {
 public:
  // Adds an update that is older than those before.
  void AddOlder(const DirectoryUpdate& older);

  [[nodiscard]] auto Take() -> DirectoryUpdate { return std::move(merged_); }

 private:
  DirectoryUpdate merged_;
  std::unordered_set<EndpointId> seen_;
};

// What has to change to get from one whole update to a later one.
[[nodiscard]] auto DifferenceOf(const DirectoryUpdate& before,
                                const DirectoryUpdate& after)
    -> DirectoryUpdate;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
