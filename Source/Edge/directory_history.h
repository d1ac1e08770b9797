#ifndef HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_

#include <deque>
#include <memory>
#include <optional>

#include "Core/time.h"
#include "Edge/directory_update.h"

namespace hemlockwick {

// The directory and its recent changes, as an instance passes them on.
class DirectoryHistory {
 public:
  // Takes an update that the instance has received.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // The changes after a revision; nothing when they are not all kept.
  [[nodiscard]] auto Since(Revision after) const
      -> std::optional<DirectoryUpdate>;

  // Everything, as one whole update.
  [[nodiscard]] auto All() const -> const DirectoryUpdate& { return all_; }

  [[nodiscard]] auto revision() const -> Revision { return all_.revision; }

  // Routes that were in force lately, by version; null when not kept.
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
  Revision complete_after_;  // Changes after this revision are kept.
  std::deque<Change> changes_;
  std::deque<std::shared_ptr<const RouteSet>> routes_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_HISTORY_H_
