#ifndef HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_

#include <deque>
#include <memory>
#include <optional>

#include "Core/time.h"
#include "Edge/directory_update.h"

namespace hemlockwick {

// The directory of endpoints and its recent changes, from which a relay answers
// the instances that watch it.
class DirectoryHistory {
 public:
  // Records an update that this instance has received. A change that is not
  // newer than the directory is ignored; a whole update replaces it.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // The changes after a revision, merged into one update; nullopt when some of
  // them have been discarded.
  [[nodiscard]] auto Since(Revision after) const
      -> std::optional<DirectoryUpdate>;

  // The complete directory, as one whole update.
  [[nodiscard]] auto All() const -> const DirectoryUpdate& { return all_; }

  [[nodiscard]] auto revision() const -> Revision { return all_.revision; }

  // The routes of a recent version; null when they have been discarded.
  [[nodiscard]] auto RoutesOf(Version version) const
      -> std::shared_ptr<const RouteSet>;

 private:
  struct Change {
    TimePoint at;
    DirectoryUpdate update;
  };

  void ReplaceAll(const DirectoryUpdate& whole, TimePoint now);
  void AddChange(DirectoryUpdate change, TimePoint now);
  void AddRoutes(std::shared_ptr<const RouteSet> routes);

  DirectoryUpdate all_;
  Revision complete_after_;  // All later changes are retained.
  std::deque<Change> changes_;
  std::deque<std::shared_ptr<const RouteSet>> routes_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
