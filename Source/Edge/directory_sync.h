#ifndef HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
#define HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/net_address.h"
#include "Core/random.h"
#include "Core/time.h"
#include "Edge/directory_update.h"
#include "Edge/relay_tree.h"
#include "Edge/upstream_list.h"
#include "Flow/endpoint_stats.h"

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
  RelayAdvice advice;  // Of a relay: where this instance shall watch.
};

// The next call for the directory.
struct SyncCall {
  enum class Kind : std::uint8_t { kReadAll, kWatch };

  Kind kind = Kind::kReadAll;
  std::optional<SocketAddress> relay;  // Nothing: the platform.
  TimePoint at;                        // Not before.
  Revision after;                      // Of a watch.
  Duration wait{0};                    // Time for which a watch may be held.
  Duration timeout{0};                 // Time after which the call has failed.
};

struct SyncSettings {
  // Seeds that pass the directory on, without this instance.
  std::vector<SocketAddress> seeds;
  // Whether this instance is one of them and prefers the platform.
  bool is_seed = false;
  std::uint64_t random_seed = 0;  // Spreads instances over relays and time.
  DataCentreId data_centre;       // Where this instance is.
  SocketAddress own_relay;  // Where this instance relays; port 0: nowhere.
};

// Decides when to call whom for the directory: the platform or an instance
// that relays it. Relays and the platform count the same revisions, so a watch
// may move from one to another. Each call is answered by OnAnswer before the
// next one is made.
//
// A reader that has to start reads the platform. From then on seeds watch the
// platform, and the others watch a relay as long as that hears from the
// platform. They begin at a seed; a relay that serves enough others names some
// of those, so that the instances form a tree. Where an instance is in it
// follows from what it was told; a wrong place costs a detour, and a ring of
// relays ends since each answer names the relays that it has passed.
class DirectorySync {
 public:
  DirectorySync(const SyncSettings& settings, TimePoint now);

  [[nodiscard]] auto next() const -> const SyncCall& { return next_; }

  // Takes the answer to the call. Returns whether its update is to be taken:
  // not one that would lead back to an older state.
  auto OnAnswer(const SyncAnswer& answer, TimePoint now) -> bool;

  // Names some instances that watch this one. They are asked when it cannot
  // read the platform: they may have found another way.
  void SetLocalWatchers(std::vector<SocketAddress> watchers) {
    watchers_ = std::move(watchers);
  }

  // Whether nobody has given an up-to-date answer for some time.
  [[nodiscard]] auto is_lost() const -> bool { return is_lost_; }

  // Up to where the directory is known.
  [[nodiscard]] auto revision() const -> Revision { return revision_; }

  // When the platform was last known to be in touch, directly or through a
  // relay.
  [[nodiscard]] auto last_fresh() const -> TimePoint { return last_fresh_; }

  // The relay that serves this instance; nothing while it has none.
  [[nodiscard]] auto parent() const -> const std::optional<SocketAddress>& {
    return parent_;
  }

  // The relays between the platform and this instance.
  [[nodiscard]] auto path() const -> const std::vector<SocketAddress>& {
    return path_;
  }

 private:
  [[nodiscard]] auto IsAcceptable(const SyncAnswer& answer) const -> bool;
  void OnFailure(Upstream& upstream, TimePoint now);
  void OnSuccess(Upstream& upstream, const SyncAnswer& answer, TimePoint now);
  void OnRelay(const SocketAddress& relay, const SyncAnswer& answer,
               TimePoint now);
  void AdoptParent(const SocketAddress& relay, const RelayAdvice& advice);
  void BeginSearch(const SocketAddress& relay, TimePoint now);
  void EndSearch(TimePoint now);
  void FollowReferral(const SocketAddress& relay, const RelayAdvice& advice,
                      TimePoint now);
  void LeaveRelay(const SocketAddress& relay, TimePoint now, Duration time);
  void Schedule(TimePoint not_before, TimePoint now);
  [[nodiscard]] auto WaitAt(const Upstream& upstream, TimePoint now) const
      -> Duration;
  [[nodiscard]] auto MaxParentAge() const -> Duration;

  const SyncSettings settings_;
  Random random_;
  UpstreamList upstreams_;
  SyncCall next_;
  Revision revision_;
  bool has_read_ = false;
  bool is_lost_ = false;
  // Looks for a relay that is up to date, and in the end asks the platform.
  bool is_searching_ = false;
  std::optional<SocketAddress> outdated_parent_;  // Before the search.
  std::uint32_t failed_searches_ = 0;             // Since news were fresh.
  TimePoint next_search_;
  TimePoint last_fresh_;
  // The latest answer to be taken came from the platform.
  bool last_answer_from_platform_ = false;
  bool is_root_ = false;  // The same, and it was one to a watch.
  // The platform has since the latest answer to be taken.
  bool platform_has_failed_ = false;
  // Relays that have failed since the latest answer to be taken.
  std::uint32_t failed_relays_ = 0;
  std::optional<SocketAddress> parent_;
  std::vector<SocketAddress> path_;
  // Whom to ask when the parent fails.
  std::vector<SocketAddress> successors_;
  std::vector<SocketAddress> watchers_;
  std::size_t referrals_ = 0;  // Since a relay has served this instance.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
