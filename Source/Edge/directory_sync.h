#ifndef HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "Core/net_address.h"
#include "Core/random.h"
#include "Core/time.h"
#include "Edge/directory_update.h"
#include "Flow/endpoint_load.h"

namespace hemlockwick {

// A relay that has not heard from the platform for longer is not up to date:
// more than its watch of the platform and the time for which it gathers.
inline constexpr Duration kMaxRelayAge = std::chrono::milliseconds(2000);

enum class SyncStatus : std::uint8_t {
  kOk,
  kHistoryLost,  // The changes after the revision are no longer available.
  kRefused,      // The call was turned away.
  kUnreachable,  // No answer, or one that could not be understood.
};
inline constexpr std::size_t kSyncStatusCount = 4;

// Name of the status in logs and metrics, for example "refused".
[[nodiscard]] auto ToString(SyncStatus status) -> std::string_view;

struct SyncAnswer {
  SyncStatus status = SyncStatus::kUnreachable;
  DirectoryUpdate update;  // Empty unless the status is kOk.
  // Of a relay: time since the platform answered it, and since the end of the
  // last outage that it noticed, if any.
  Duration age{0};
  std::optional<Duration> since_outage;
  // Of a relay: where it is, if it tells.
  std::optional<DataCentreId> data_centre;
  // Endpoints that several instances have found not to answer.
  std::vector<SharedSuspect> suspects;
};

// The next call for the directory.
struct SyncCall {
  enum class Kind : std::uint8_t { kReadAll, kWatch };

  Kind kind = Kind::kReadAll;
  // Position in the list of relays; nothing for the platform.
  std::optional<std::size_t> relay;
  TimePoint at;         // Not before.
  Revision after;       // Of a watch.
  Duration wait{0};     // Time for which a watch may be held.
  Duration timeout{0};  // Time after which the call has failed.
};

struct SyncSettings {
  std::size_t relays = 0;  // Instances that pass the directory on.
  // Whether this instance is one of them and prefers the platform.
  bool is_relay = false;
  std::uint64_t seed = 0;    // Spreads instances over relays and time.
  DataCentreId data_centre;  // Where this instance is.
};

// Decides when to call whom for the directory: the platform or an instance
// that relays it. Relays and the platform count the same revisions, so a watch
// may move from one to another. Each call is answered by OnAnswer before the
// next one is made.
//
// A reader that has to start reads the platform. From then on relays watch the
// platform, and the others watch a relay as long as that hears from the
// platform: one of their own data centre if there is one.
class DirectorySync {
 public:
  DirectorySync(const SyncSettings& settings, TimePoint now);

  [[nodiscard]] auto next() const -> const SyncCall& { return next_; }

  // Takes the answer to the call. Returns whether its update is to be taken:
  // not one that would lead back to an older state.
  auto OnAnswer(const SyncAnswer& answer, TimePoint now) -> bool;

  // Whether nobody has given an up-to-date answer for some time.
  [[nodiscard]] auto is_lost() const -> bool { return is_lost_; }

  // Up to where the directory is known.
  [[nodiscard]] auto revision() const -> Revision { return revision_; }

  // When the platform was last known to be in touch, directly or through a
  // relay.
  [[nodiscard]] auto last_fresh() const -> TimePoint { return last_fresh_; }

 private:
  // Of a relay, in the order of preference.
  enum class Distance : std::uint8_t { kNear, kUnknown, kFar };

  // The platform or a relay, and when it may be called again.
  struct Upstream {
    std::optional<std::size_t> relay;
    TimePoint retry_at;
    std::uint32_t failures = 0;
    Distance distance = Distance::kUnknown;
  };

  auto Find(const std::optional<std::size_t>& relay) -> Upstream&;
  void OnFailure(Upstream& upstream, TimePoint now);
  void OnSuccess(Upstream& upstream, const SyncAnswer& answer, TimePoint now);
  void Place(Upstream& upstream, const std::optional<DataCentreId>& place);
  void Schedule(TimePoint not_before, TimePoint now);
  auto Choose(TimePoint now) -> const Upstream&;

  const SyncSettings settings_;
  Random random_;
  // Near ones first, otherwise in the order of this instance's choice.
  std::vector<Upstream> relays_;
  Upstream platform_;
  SyncCall next_;
  Revision revision_;
  bool has_read_ = false;
  bool is_lost_ = false;
  // The latest answer came from a relay that is out of date.
  bool is_searching_ = false;
  TimePoint last_fresh_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
