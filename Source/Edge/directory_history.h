#ifndef HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "Core/time.h"
#include "Edge/directory_update.h"

namespace hemlockwick {

// The directory of endpoints and its recent changes, from which a relay answers
// the instances that watch it. The changes may lead from one era to the next.
class DirectoryHistory {
 public:
  // Records an update that this instance has received. A change that is not
  // newer than the directory is ignored; a whole update replaces it.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // The changes after a position, merged into one update; nullopt when some of
  // them are not known. An era of zero is taken for the present one, unless the
  // revision may be of the one before.
  [[nodiscard]] auto Since(Position after) const
      -> std::optional<DirectoryUpdate>;

  // The complete directory, as one whole update.
  [[nodiscard]] auto All() const -> const DirectoryUpdate& { return all_; }

  [[nodiscard]] auto position() const -> Position { return all_.position; }

  // The routes in force; null before the first ones.
  [[nodiscard]] auto routes() const -> std::shared_ptr<const RouteSet> {
    return all_.routes;
  }

  // The routes of a recent version; null when they have been discarded.
  [[nodiscard]] auto RoutesOf(Version version) const
      -> std::shared_ptr<const RouteSet>;

 private:
  struct Change {
    TimePoint at;
    Position from;  // Of the directory before the change.
    DirectoryUpdate update;
  };

  void UseNewerRoutes(const std::shared_ptr<const RouteSet>& routes);
  void KeepEvacuations(const std::vector<Evacuation>& known);
  void ReplaceAll(const DirectoryUpdate& whole, TimePoint now);
  [[nodiscard]] auto HasLeftEraAfter(Position position) const -> bool;
  void AddChange(DirectoryUpdate change, Position from, TimePoint now);
  void AddRoutes(std::shared_ptr<const RouteSet> routes);

  DirectoryUpdate all_;
  Position complete_after_;  // All later changes are retained.
  Position former_era_end_;  // Last position in the era before this one.
  std::deque<Change> changes_;
  std::deque<std::shared_ptr<const RouteSet>> routes_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
