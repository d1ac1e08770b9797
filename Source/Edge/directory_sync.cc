#include "Edge/directory_sync.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// How long the platform holds a watch: a lost connection is noticed within
// this time and kCallTimeout, well before a new version has to be in force.
constexpr Duration kWatchTime = std::chrono::milliseconds(1500);

// Time for an answer, beyond the time for which a watch is held.
constexpr Duration kCallTimeout = std::chrono::milliseconds(1000);

// After a change: the changes of this time are taken by one further call.
constexpr Duration kGatherTime = std::chrono::milliseconds(500);

// Wait after a failed call, doubled with each further one.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 3;

// Failed calls after which the platform counts as lost.
constexpr std::uint32_t kFailuresUntilLost = 2;

}  // namespace

auto ToString(SyncStatus status) -> std::string_view {
  switch (status) {
    case SyncStatus::kOk:
      return "ok";
    case SyncStatus::kHistoryLost:
      return "history_lost";
    case SyncStatus::kRefused:
      return "refused";
    case SyncStatus::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

DirectorySync::DirectorySync(std::uint64_t seed, TimePoint now)
    : random_(seed) {
  ScheduleRead(now);
}

void DirectorySync::OnAnswer(const SyncAnswer& answer, TimePoint now) {
  if (answer.status == SyncStatus::kRefused ||
      answer.status == SyncStatus::kUnreachable) {
    OnFailure(now);
    return;
  }
  failures_ = 0;
  is_lost_ = false;
  last_answer_ = now;
  if (answer.status == SyncStatus::kHistoryLost) {
    has_read_ = false;
    ScheduleRead(now);
    return;
  }
  has_read_ = true;
  revision_ = answer.update.revision;
  ScheduleWatch(answer.update, now);
}

void DirectorySync::OnFailure(TimePoint now) {
  ++failures_;
  is_lost_ = is_lost_ || failures_ >= kFailuresUntilLost;
  const auto doublings = std::min(failures_ - 1, kMaxBackoffDoublings);
  const auto mean = kFirstBackoff * (1U << doublings);
  const auto at = now + mean / 2 + random_.DurationBelow(mean);
  if (!has_read_) {
    ScheduleRead(at);
    return;
  }
  // An immediate answer shows that the platform is back.
  next_ = {SyncCall::Kind::kWatch, at, revision_, Duration(0), kCallTimeout};
}

void DirectorySync::ScheduleWatch(const DirectoryUpdate& update,
                                  TimePoint now) {
  const auto has_changes =
      !update.reports.empty() || !update.removed.empty() || update.routes;
  const auto is_gathering = has_changes && !update.is_whole;
  const auto at = is_gathering ? now + kGatherTime : now;
  next_ = {SyncCall::Kind::kWatch, at, revision_, kWatchTime,
           kWatchTime + kCallTimeout};
}

void DirectorySync::ScheduleRead(TimePoint at) {
  next_ = {SyncCall::Kind::kReadAll, at, Revision(), Duration(0), kCallTimeout};
}

}  // namespace hemlockwick
