#ifndef HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Flow/endpoint_directory.h"

namespace hemlockwick {

// Position in the platform's history of changes.
using Revision = StrongId<struct RevisionTag>;

// Changes that one call to the platform has returned.
struct DirectoryUpdate {
  bool is_whole = false;  // Everything that the platform holds.
  Revision revision;      // Continue watching from here.
  std::vector<EndpointReport> reports;
  std::vector<EndpointId> removed;
  // Endpoints whose entry cannot be understood.
  std::vector<EndpointId> unreadable;
  std::shared_ptr<const RouteSet> routes;  // Null when they did not change.
  std::size_t ignored = 0;  // Entries that could not be understood.
};

enum class SyncStatus : std::uint8_t {
  kOk,
  kHistoryLost,  // The changes after the revision are no longer available.
  kRefused,      // The platform turned the call away.
  kUnreachable,  // No answer, or one that could not be understood.
};

inline constexpr std::size_t kSyncStatusCount = 4;

// Name of the status in logs and metrics, for example "refused".
[[nodiscard]] auto ToString(SyncStatus status) -> std::string_view;

struct SyncAnswer {
  SyncStatus status = SyncStatus::kUnreachable;
  DirectoryUpdate update;  // Empty unless the status is kOk.
};

// The next call to the platform.
struct SyncCall {
  enum class Kind : std::uint8_t { kReadAll, kWatch };

  Kind kind = Kind::kReadAll;
  TimePoint at;         // Not before.
  Revision after;       // Of a watch.
  Duration wait{0};     // Time that the platform may hold a watch.
  Duration timeout{0};  // Time after which the call has failed.
};

// Decides when to read and when to watch the platform's directory. Each call
// is answered by OnAnswer before the next one is made.
class DirectorySync {
 public:
  DirectorySync(std::uint64_t seed, TimePoint now);

  [[nodiscard]] auto next() const -> const SyncCall& { return next_; }

  void OnAnswer(const SyncAnswer& answer, TimePoint now);

  // Whether the platform does not answer this process.
  [[nodiscard]] auto is_lost() const -> bool { return is_lost_; }

  // When the platform last answered; zero when it never did.
  [[nodiscard]] auto last_answer() const -> TimePoint { return last_answer_; }

 private:
  void OnFailure(TimePoint now);
  void ScheduleWatch(const DirectoryUpdate& update, TimePoint now);
  void ScheduleRead(TimePoint at);

  Random random_;
  SyncCall next_;
  Revision revision_;
  bool has_read_ = false;
  bool is_lost_ = false;
  std::uint32_t failures_ = 0;
  TimePoint last_answer_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
