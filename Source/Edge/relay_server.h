#ifndef HEMLOCKWICK_EDGE_RELAY_SERVER_H_
#define HEMLOCKWICK_EDGE_RELAY_SERVER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "Core/time.h"
#include "Edge/directory_history.h"
#include "Edge/health_aggregator.h"
#include "Edge/http_listener.h"
#include "Edge/relay_call.h"
#include "Edge/relay_codec.h"
#include "Edge/report_limiter.h"
#include "Edge/suspect_list.h"
#include "Edge/watcher_list.h"

namespace hemlockwick {

// Serves the directory to the instances that watch this one, its watchers.
// Combines their health reports into suspect endpoints, which it sends back to
// them, and passes the reports on to the relay above. Runs on the control
// thread.
class RelayServer {
 public:
  // Returns the age of this instance's directory and the relays that it has
  // passed.
  using StateProvider = std::function<RelayState(TimePoint now)>;

  // `own` describes this instance; `seed` is the random seed of referrals.
  RelayServer(const Watcher& own, std::uint64_t seed, StateProvider state);

  // Records an update that this instance has received. Answers the held calls
  // when something has changed, and otherwise often enough for the watchers to
  // know that their directory is up to date.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // Records the suspects that the relay above has sent.
  void AddUpstreamSuspects(const std::vector<SharedSuspect>& suspects,
                           TimePoint now);

  // Answers a call at once, or holds it until there is a change or its wait has
  // ended. Returns whether the caller is admitted as a watcher.
  auto Serve(const RelayQuery& query, HttpListener::Reply reply, TimePoint now)
      -> bool;

  // Records health reports. When they change the set of suspects the held calls
  // are answered soon; later calls return the suspects too.
  void AddReports(const HealthReports& reports, TimePoint now);

  // Endpoints that several instances suspect, according to reports to this
  // relay or to the one above.
  [[nodiscard]] auto Suspects(TimePoint now) const
      -> std::vector<SharedSuspect>;

  // Takes the reports to be sent to the relay above.
  [[nodiscard]] auto TakePendingReports() -> std::vector<HealthReport> {
    return report_limiter_.Take();
  }

  // How this instance describes itself to the relay above.
  [[nodiscard]] auto Self() const -> Watcher;

  // Some of the watchers in this data centre that have no held call: they may
  // have found another upstream.
  [[nodiscard]] auto LocalWatchers() const -> std::vector<SocketAddress>;

  // Refers all watchers to other relays, from now on.
  void RedirectWatchers(TimePoint now);

  // Answers held calls whose wait has ended, and all of them when there are new
  // suspects or this instance has just become out of date.
  void OnTick(TimePoint now);

  [[nodiscard]] auto held_calls() const -> std::size_t {
    return held_calls_.size();
  }
  [[nodiscard]] auto watchers() const -> std::size_t {
    return watchers_.size();
  }

 private:
  struct HeldCall {
    RelayQuery query;
    TimePoint until;
    HttpListener::Reply reply;
  };
  // Answers with the same content are encoded once.
  using EncodedKey = std::tuple<Position, Version, DataCentreId>;
  using Encoded = std::map<EncodedKey, std::string>;

  [[nodiscard]] auto HoldTimeOf(const RelayQuery& query) const -> Duration;
  [[nodiscard]] auto HasNewerRoutes(const RelayQuery& query) const -> bool;
  auto BecomesOutdated(TimePoint now) -> bool;
  [[nodiscard]] auto IsOutdated(TimePoint now) const -> bool;
  void AnswerAll(TimePoint now);
  [[nodiscard]] auto HasNewSpeeds(TimePoint now) const -> bool;
  [[nodiscard]] auto SpeedsToSend(std::optional<SharedSpeeds> speeds) const
      -> std::optional<SharedSpeeds>;
  [[nodiscard]] auto StateAt(TimePoint now) const -> RelayState;
  [[nodiscard]] auto AnswerTo(const RelayQuery& query,
                              const RelayAdvice& advice, TimePoint now) const
      -> HttpReply;
  [[nodiscard]] auto SharedAnswerTo(const RelayQuery& query, Encoded& encoded,
                                    TimePoint now) const -> HttpReply;
  [[nodiscard]] auto Encode(const DirectoryUpdate& update,
                            const RelayQuery& query, const RelayAdvice& advice,
                            TimePoint now) const -> HttpReply;

  const Watcher own_;
  const StateProvider state_at_;
  DirectoryHistory history_;
  WatcherList watchers_;
  HealthAggregator health_;
  SuspectList upstream_suspects_;
  ReportLimiter report_limiter_;
  TimePoint next_suspect_answer_;
  TimePoint next_freshness_answer_;
  // The platform's last contact that all watchers were told of.
  TimePoint answered_contact_;
  TimePoint speeds_sent_;  // Time of the speeds last sent to all watchers.
  bool omits_speeds_ = false;
  bool suspects_changed_ = false;
  bool has_directory_ = false;
  bool is_outdated_ = false;
  std::list<HeldCall> held_calls_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_SERVER_H_
