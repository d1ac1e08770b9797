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
#include "Edge/shared_speeds.h"
#include "Edge/upstream_list.h"
#include "Flow/endpoint_stats.h"

namespace hemlockwick {

// A relay is out of date when the platform's last answer that reached it is
// older than this. More than the hold time of a watch of the platform plus the
// time for which changes are coalesced.
inline constexpr Duration kMaxRelayAge = std::chrono::milliseconds(2000);

enum class SyncStatus : std::uint8_t {
  kOk,
  kHistoryLost,  // The changes after the revision have been discarded.
  kRefused,      // The server rejected the call.
  kUnreachable,  // No answer, or a malformed one.
};
inline constexpr std::size_t kSyncStatusCount = 4;

// Name of the status in logs and metrics, for example "refused".
[[nodiscard]] auto ToString(SyncStatus status) -> std::string_view;

struct SyncAnswer {
  SyncStatus status = SyncStatus::kUnreachable;
  DirectoryUpdate update;  // Empty unless the status is kOk.
  // From a relay: time since the last answer of the platform that reached it,
  // and since the end of the last outage that it noticed, if any.
  Duration age{0};
  std::optional<Duration> since_outage;
  // From a relay: its data centre. Earlier versions do not send it.
  std::optional<DataCentreId> data_centre;
  // Endpoints that several instances have reported as silent or failing.
  std::vector<SharedSuspect> suspects;
  RelayAdvice advice;  // From a relay: which relay to watch.
  // From a relay that shares reply statistics; not in each of its answers.
  std::optional<SharedSpeeds> speeds;
  // From a relay: number of instances of the fleet, if known. Earlier versions
  // do not send it.
  std::optional<std::uint32_t> instances;
};

// A call to the platform or a relay that reads or watches the directory.
struct SyncCall {
  enum class Kind : std::uint8_t { kReadAll, kWatch };

  Kind kind = Kind::kReadAll;
  std::optional<SocketAddress> relay;  // nullopt: the platform.
  TimePoint at;                        // Earliest time of the call.
  Position after;                      // Of a watch: the position held.
  Duration wait{0};                    // Of a watch: its maximum hold time.
  Duration timeout{0};                 // The call fails after this time.
};

struct SyncSettings {
  // The relays named in the settings, without this instance.
  std::vector<SocketAddress> seeds;
  // Whether this instance is one of them. Seeds watch the platform itself.
  bool is_seed = false;
  std::uint64_t random_seed = 0;  // Of jitter and the choice of relays.
  DataCentreId data_centre;       // Of this instance.
  SocketAddress own_relay;        // Own address as a relay; port 0: none.
  bool shares_speeds = false;     // Whether reply statistics are shared.
  // Whether the instances are counted, for the bound on cold endpoints.
  bool counts_instances = false;
  InstanceId instance;
};

// Decides when to call which upstream for the directory of endpoints: the
// platform, or a relay, which is an instance that passes the directory on.
// Relays and the platform count the same revisions, so a watch may move from
// one to another. When the platform answers from another era, the whole
// directory is read again; a relay passes on what has changed between two eras.
// Each call has to be answered by OnAnswer before the next one
// is made.
//
// A starting instance reads the whole directory from the platform. From then on
// seeds watch the platform, and the others watch a relay as long as that is up
// to date. They begin at a seed; a relay at its capacity refers them to some of
// its own watchers, so that the instances form a tree. The place of an instance
// in the tree follows from these referrals alone. A wrong referral costs a
// detour, and a loop of relays is detected because each answer lists the relays
// that it has passed.
class DirectorySync {
 public:
  DirectorySync(const SyncSettings& settings, TimePoint now);

  [[nodiscard]] auto next() const -> const SyncCall& { return next_; }

  // Handles the answer to the call. Returns whether its update may be applied;
  // false when the call has failed, and for updates that are outdated or came
  // through a loop of relays.
  auto OnAnswer(const SyncAnswer& answer, TimePoint now) -> bool;

  // Sets some instances of this data centre that watched this one a moment ago.
  // They are called when this instance has no up-to-date upstream: they may
  // have found another one.
  void SetLocalWatchers(std::vector<SocketAddress> watchers) {
    watchers_ = std::move(watchers);
  }

  // Whether no upstream has given an up-to-date answer for some time.
  [[nodiscard]] auto is_lost() const -> bool { return is_lost_; }

  // Position of the directory that this instance has received.
  [[nodiscard]] auto position() const -> Position { return position_; }

  // Latest time at which the platform is known to have answered this instance
  // or a relay above it.
  [[nodiscard]] auto last_fresh() const -> TimePoint { return last_fresh_; }

  // The relay that this instance watches; nullopt while it has none.
  [[nodiscard]] auto parent() const -> const std::optional<SocketAddress>& {
    return parent_;
  }

  // Whether this instance is the root of a relay tree: it watches no relay, and
  // it is a seed or its last accepted answer came from the platform.
  [[nodiscard]] auto is_tree_root() const -> bool {
    return !parent_ && (settings_.is_seed || last_answer_from_platform_);
  }

  // The relays between the platform and this instance, from the platform down.
  [[nodiscard]] auto path() const -> const std::vector<SocketAddress>& {
    return path_;
  }

 private:
  [[nodiscard]] auto IsOfOtherEra(const SyncAnswer& answer) const -> bool;
  [[nodiscard]] auto IsOlder(const DirectoryUpdate& update) const -> bool;
  [[nodiscard]] auto IsAcceptable(const SyncAnswer& answer) const -> bool;
  void OnFailure(Upstream& upstream, TimePoint now);
  void OnSuccess(Upstream& upstream, const SyncAnswer& answer, TimePoint now);
  void CheckEvacuations(const DirectoryUpdate& update, TimePoint now);
  void OnRelay(const SocketAddress& relay, const SyncAnswer& answer,
               TimePoint now);
  void AdoptParent(const SocketAddress& relay, const RelayAdvice& advice);
  void OnUpToDate(TimePoint now);
  auto BeginSearch(const SocketAddress& relay, TimePoint now) -> bool;
  void ContinueSearch(const SocketAddress& relay, TimePoint now);
  void EndSearch(TimePoint now);
  void EndSearchWithoutUpstream(TimePoint now);
  [[nodiscard]] auto SearchesPlatformNext(TimePoint now) const -> bool;
  auto SearchInterval(std::size_t rank) -> Duration;
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
  Position position_;
  bool has_read_ = false;
  // Whether an update may have lacked evacuations.
  bool lacks_evacuations_ = false;
  TimePoint next_evacuation_read_;
  bool is_lost_ = false;
  // Looking for a relay that is up to date; the platform is called last.
  bool is_searching_ = false;
  // Whether the search includes the seeds and the platform, besides the
  // instance's own watchers; whether all of them, and how many are left.
  bool asks_sources_ = false;
  bool asks_all_sources_ = false;
  std::size_t sources_left_ = 0;
  // Watchers of the outdated parent that search before this instance.
  std::size_t search_rank_ = 0;
  // When the search began; none after an up-to-date answer.
  std::optional<SocketAddress> outdated_parent_;
  std::uint32_t failed_searches_ = 0;  // Since the last up-to-date answer.
  TimePoint next_search_;
  TimePoint next_source_search_;  // The next one of the seeds and the platform.
  TimePoint last_fresh_;
  // Whether the last accepted answer came from the platform.
  bool last_answer_from_platform_ = false;
  bool is_root_ = false;  // The same, and it answered a watch.
  // Whether the platform has failed since the last accepted answer.
  bool platform_has_failed_ = false;
  // Relays that have failed since the last accepted answer, or that it has
  // shown to be out of date.
  std::uint32_t failed_relays_ = 0;
  std::optional<SocketAddress> parent_;
  std::vector<SocketAddress> path_;
  // Relays to call when the parent fails.
  std::vector<SocketAddress> successors_;
  std::vector<SocketAddress> watchers_;
  std::size_t referrals_ = 0;  // Followed since a relay admitted this instance.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_DIRECTORY_SYNC_H_
