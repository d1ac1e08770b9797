#ifndef HEMLOCKWICK_EDGE_RELAY_SERVER_H_
#define HEMLOCKWICK_EDGE_RELAY_SERVER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
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

// Passes the directory on to instances that watch it here, and what they find
// of endpoints to the relay above and to each other. Runs on the control
// thread.
class RelayServer {
 public:
  // Says how fresh the directory of this instance is, and which relays it has
  // passed.
  using StateProvider = std::function<RelayState(TimePoint now)>;

  // `own` describes this instance; `seed` spreads watchers.
  RelayServer(const Watcher& own, std::uint64_t seed, StateProvider state);

  // Takes an update that this instance has received, and answers the calls
  // that wait, so that they know how fresh it is.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // Takes what the relay above knows of endpoints.
  void AddUpstreamSuspects(const std::vector<SharedSuspect>& suspects,
                           TimePoint now);

  // Answers a call, now or when there is a change or its time is over.
  void Serve(const RelayQuery& query, HttpListener::Reply reply, TimePoint now);

  // Takes reports about endpoints; the calls that wait are answered soon when
  // that changes the set of suspects. Those who call later are told too.
  void AddReports(const HealthReports& reports, TimePoint now);

  // What several instances have found, here or elsewhere.
  [[nodiscard]] auto Suspects(TimePoint now) const
      -> std::vector<SharedSuspect>;

  // Reports to be passed on to the relay above since the last call.
  [[nodiscard]] auto TakePendingReports() -> std::vector<HealthReport> {
    return report_limiter_.Take();
  }

  // How this instance describes itself to the relay above.
  [[nodiscard]] auto Self() const -> Watcher;

  // Some of those who watch here, in this data centre.
  [[nodiscard]] auto LocalWatchers() const -> std::vector<SocketAddress> {
    return watchers_.Successors(own_.data_centre);
  }

  // Sends those who watch here elsewhere.
  void RedirectWatchers(TimePoint now);

  // Answers the calls whose time is over, and all that wait when this instance
  // is no longer up to date.
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
  using EncodedKey = std::tuple<Revision, Version, DataCentreId>;
  using Encoded = std::map<EncodedKey, std::string>;

  [[nodiscard]] auto HoldTimeOf(const RelayQuery& query) const -> Duration;
  auto BecomesOutdated(TimePoint now) -> bool;
  void AnswerAll(TimePoint now);
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
  bool suspects_changed_ = false;
  bool has_directory_ = false;
  bool is_outdated_ = false;
  std::list<HeldCall> held_calls_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_SERVER_H_
