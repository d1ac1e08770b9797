#ifndef HEMLOCKWICK_EDGE_DIRECTORY_KEEPER_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_KEEPER_H_

#include <cstdint>
#include <string>

#include "Core/snapshot_cell.h"
#include "Edge/directory_sync.h"
#include "Edge/edge_metrics.h"
#include "Flow/endpoint_directory.h"

namespace hemlockwick {

// Keeps the directory of an edge process up to date with the platform's
// answers, publishes its snapshots and logs its changes. Runs on the control
// thread.
class DirectoryKeeper {
 public:
  // `metrics` must outlive the keeper.
  DirectoryKeeper(std::uint64_t seed, EdgeMetrics& metrics, TimePoint now);

  // The next call to make; its answer goes to OnAnswer.
  [[nodiscard]] auto next_call() const -> const SyncCall& {
    return sync_.next();
  }

  // `error` says why there is no answer, for the log.
  void OnAnswer(const SyncAnswer& answer, const std::string& error,
                TimePoint now);

  void OnTick(TimePoint now);

  // Whether routes and endpoints are known.
  [[nodiscard]] auto IsUsable() const -> bool { return directory_.IsUsable(); }

  [[nodiscard]] auto snapshots() const
      -> const SnapshotCell<DirectorySnapshot>& {
    return snapshots_;
  }

 private:
  void Apply(const DirectoryUpdate& update, TimePoint now);
  void NoteConnection(const SyncAnswer& answer, const std::string& error,
                      TimePoint now);
  void Publish(TimePoint now);

  EdgeMetrics& metrics_;
  DirectorySync sync_;
  EndpointDirectory directory_;
  SnapshotCell<DirectorySnapshot> snapshots_;
  bool was_lost_ = false;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_KEEPER_H_
