#ifndef HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_

#include <cstddef>
#include <memory>
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

  // Drops what the update says of the endpoint, before a later change of it.
  void Forget(EndpointId endpoint);

  // Adds a later update that is not whole.
  void Append(const DirectoryUpdate& later);
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_UPDATE_H_
