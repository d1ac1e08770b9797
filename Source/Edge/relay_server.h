#ifndef HEMLOCKWICK_EDGE_RELAY_SERVER_H_
#define HEMLOCKWICK_EDGE_RELAY_SERVER_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Core/time.h"
#include "Edge/directory_history.h"
#include "Edge/http_listener.h"
#include "Edge/relay_codec.h"
#include "Edge/sign_exchange.h"

namespace hemlockwick {

// Passes the directory on to instances that watch it here. Runs on the control
// thread.
class RelayServer {
 public:
  // Says how fresh the directory of this instance is.
  using StateNow = std::function<RelayState(TimePoint now)>;

  explicit RelayServer(StateNow state);

  // Takes an update that this instance has received, and answers the calls
  // that wait for it.
  void Add(const DirectoryUpdate& update, TimePoint now);

  // Answers a call, now or when there is a change or its time is over.
  void Serve(const RelayQuery& query, HttpListener::Reply reply, TimePoint now);

  // Takes a report about endpoints; the calls that wait are answered soon when
  // that changes the set of suspects. Those who call later are told too.
  void TakeReport(const SignReport& report, TimePoint now);

  [[nodiscard]] auto Suspects(TimePoint now) const
      -> std::vector<SharedSuspect> {
    return signs_.Suspects(now);
  }

  // Answers the calls whose time is over, and all that wait when this instance
  // is no longer up to date.
  void OnTick(TimePoint now);

  [[nodiscard]] auto waiting() const -> std::size_t { return waiting_.size(); }

 private:
  struct Waiting {
    RelayQuery query;
    TimePoint until;
    HttpListener::Reply reply;
  };
  // Answers with the same content are encoded once.
  using EncodedKey = std::pair<Revision, Version>;
  using Encoded = std::map<EncodedKey, std::string>;

  auto BecomesOutdated(TimePoint now) -> bool;
  void AnswerAll(TimePoint now);
  [[nodiscard]] auto StateAt(TimePoint now) const -> RelayState;
  [[nodiscard]] auto AnswerTo(const RelayQuery& query, Encoded& encoded,
                              TimePoint now) const -> HttpReply;
  [[nodiscard]] auto Encode(const DirectoryUpdate& update,
                            const RelayQuery& query, TimePoint now) const
      -> HttpReply;

  const StateNow state_;
  DirectoryHistory history_;
  SignExchange signs_;
  TimePoint next_sign_answer_;
  bool suspects_changed_ = false;
  bool has_directory_ = false;
  bool is_outdated_ = false;
  std::list<Waiting> waiting_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_SERVER_H_
