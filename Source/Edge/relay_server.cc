#include "Edge/relay_server.h"

#include "Edge/directory_sync.h"

namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

// Calls are answered for the sake of new suspects no more often than this.
constexpr Duration kSignAnswerInterval = std::chrono::milliseconds(200);

}  // namespace

RelayServer::RelayServer(StateNow state) : state_(std::move(state)) {}

void RelayServer::Add(const DirectoryUpdate& update, TimePoint now) {
  has_directory_ = has_directory_ || update.is_whole;
  history_.Add(update, now);
  if (update.is_whole || update.has_changes()) {
    AnswerAll(now);
  }
}

void RelayServer::Serve(const RelayQuery& query, HttpListener::Reply reply,
                        TimePoint now) {
  const auto may_wait = has_directory_ && query.after &&
                        *query.after >= history_.revision() &&
                        query.wait > Duration(0);
  if (may_wait) {
    waiting_.push_back({query, now + query.wait, std::move(reply)});
    return;
  }
  auto encoded = Encoded();
  reply(AnswerTo(query, encoded, now));
}

void RelayServer::TakeReport(const SignReport& report, TimePoint now) {
  suspects_changed_ =
      signs_.Report(report.reporter, report.news, now) || suspects_changed_;
}

void RelayServer::OnTick(TimePoint now) {
  const auto tells_signs = suspects_changed_ && now >= next_sign_answer_;
  if (tells_signs) {
    suspects_changed_ = false;
    next_sign_answer_ = now + kSignAnswerInterval;
  }
  if (BecomesOutdated(now) || tells_signs) {
    AnswerAll(now);
    return;
  }
  auto encoded = Encoded();
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (now < entry->until) {
      ++entry;
      continue;
    }
    entry->reply(AnswerTo(entry->query, encoded, now));
    entry = waiting_.erase(entry);
  }
}

// Whether the platform has just been out of reach for too long. Those who wait
// may reach it themselves.
auto RelayServer::BecomesOutdated(TimePoint now) -> bool {
  const auto was_outdated = is_outdated_;
  is_outdated_ = state_(now).age > kMaxRelayAge;
  return is_outdated_ && !was_outdated;
}

void RelayServer::AnswerAll(TimePoint now) {
  auto encoded = Encoded();
  for (const auto& entry : std::exchange(waiting_, {})) {
    entry.reply(AnswerTo(entry.query, encoded, now));
  }
}

auto RelayServer::AnswerTo(const RelayQuery& query, Encoded& encoded,
                           TimePoint now) const -> HttpReply {
  if (!has_directory_) {
    return {kUnavailable, "text/plain", "no directory yet\n"};
  }
  if (!query.after) {
    return Encode(history_.All(), query, now);
  }
  const auto key = EncodedKey(*query.after, query.version);
  if (const auto found = encoded.find(key); found != encoded.end()) {
    return {kOk, "application/cbor", found->second};
  }
  const auto update = history_.Since(*query.after);
  if (!update) {
    return {kGone, "text/plain", "the changes are no longer kept\n"};
  }
  auto reply = Encode(*update, query, now);
  encoded.emplace(key, reply.body);
  return reply;
}

auto RelayServer::StateAt(TimePoint now) const -> RelayState {
  auto state = state_(now);
  state.suspects = signs_.Suspects(now);
  return state;
}

auto RelayServer::Encode(const DirectoryUpdate& update, const RelayQuery& query,
                         TimePoint now) const -> HttpReply {
  const auto base = history_.RoutesOf(query.version);
  return {kOk, "application/cbor",
          EncodeUpdate(update, StateAt(now), base.get(), now)};
}

}  // namespace hemlockwick
