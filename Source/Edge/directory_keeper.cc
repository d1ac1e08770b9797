#include "Edge/directory_keeper.h"

#include <unordered_set>

#include "Edge/router_log.h"
#include "Runtime/log.h"

namespace hemlockwick {

DirectoryKeeper::DirectoryKeeper(std::uint64_t seed, EdgeMetrics& metrics,
                                 TimePoint now)
    : metrics_(metrics), sync_(seed, now) {}

void DirectoryKeeper::OnAnswer(const SyncAnswer& answer,
                               const std::string& error, TimePoint now) {
  sync_.OnAnswer(answer, now);
  NoteConnection(answer, error, now);
  if (answer.status == SyncStatus::kOk) {
    Apply(answer.update, now);
  }
  OnTick(now);
}

void DirectoryKeeper::OnTick(TimePoint now) {
  directory_.OnTick(now);
  Publish(now);
}

void DirectoryKeeper::Apply(const DirectoryUpdate& update, TimePoint now) {
  auto present = std::unordered_set<EndpointId>(update.unreadable.begin(),
                                                update.unreadable.end());
  for (const auto& report : update.reports) {
    directory_.Report(report);
    present.insert(report.id);
  }
  for (const auto endpoint : update.unreadable) {
    directory_.Withhold(endpoint);
  }
  for (const auto endpoint : update.removed) {
    directory_.Remove(endpoint, now);
  }
  if (update.is_whole) {
    directory_.RemoveOthers(present, now);
  }
  if (update.routes != nullptr) {
    directory_.Publish(update.routes);
  }
  if (update.ignored > 0) {
    metrics_.CountIgnoredEntries(update.ignored);
    Log(LogLevel::kWarning, "directory_entries_ignored",
        {{"count", std::to_string(update.ignored)},
         {"revision", std::to_string(update.revision.value())}});
  }
}

void DirectoryKeeper::NoteConnection(const SyncAnswer& answer,
                                     const std::string& error, TimePoint now) {
  if (answer.status == SyncStatus::kHistoryLost) {
    Log(LogLevel::kWarning, "platform_history_lost", {{"error", error}});
  }
  if (sync_.is_lost() == was_lost_) {
    return;
  }
  was_lost_ = sync_.is_lost();
  if (was_lost_) {
    directory_.OnPlatformLost(now);
    Log(LogLevel::kWarning, "platform_lost",
        {{"status", std::string(ToString(answer.status))}, {"error", error}});
  } else {
    directory_.OnPlatformBack(now);
    Log(LogLevel::kInfo, "platform_back");
  }
}

void DirectoryKeeper::Publish(TimePoint now) {
  for (const auto& event : directory_.TakeEvents()) {
    LogDirectoryEvent(event);
  }
  // Packets wait in the socket until there is something to decide by.
  if (!directory_.IsUsable()) {
    return;
  }
  auto snapshot = directory_.TakeSnapshot(now);
  if (snapshot != nullptr) {
    metrics_.SetDirectory(snapshot->version(), snapshot->endpoints().size());
    snapshots_.Publish(std::move(snapshot));
  }
}

}  // namespace hemlockwick
