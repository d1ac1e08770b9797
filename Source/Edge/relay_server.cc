#include "Edge/relay_server.h"

#include <algorithm>

#include "Edge/directory_sync.h"

namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;

// Minimum interval between answers to all held calls that only send new
// suspects.
constexpr Duration kSuspectAnswerInterval = std::chrono::milliseconds(200);

// The same for answers that only show that the directory is up to date.
constexpr Duration kFreshnessAnswerInterval = std::chrono::milliseconds(500);

// Minimum interval between speeds that are sent to all watchers. Answers may
// follow each other more closely, but speeds take up to 2 KB. Less than a
// second, so that speeds that arrive once a second are all passed on.
constexpr Duration kSpeedsInterval = std::chrono::milliseconds(900);

// Calls are held for at least this long before the first directory has arrived.
// Less than their timeout.
constexpr Duration kMinStartupHold = std::chrono::milliseconds(200);

}  // namespace

RelayServer::RelayServer(const Watcher& own, std::uint64_t seed,
                         StateProvider state)
    : own_(own), state_at_(std::move(state)), watchers_(own, seed) {}

void RelayServer::Add(const DirectoryUpdate& update, TimePoint now) {
  has_directory_ = has_directory_ || update.is_whole;
  history_.Add(update, now);
  // After an outage, watchers have to learn that this relay is in touch with
  // the platform again, or they look for another one. While the platform is
  // away there is nothing newer to tell.
  const auto is_fresher = now - state_at_(now).age > answered_contact_;
  const auto was_outdated = std::exchange(is_outdated_, IsOutdated(now));
  const auto is_due = was_outdated || now >= next_freshness_answer_;
  if (update.is_whole || update.has_changes() || suspects_changed_ ||
      (is_fresher && is_due)) {
    AnswerAll(now);
  }
}

void RelayServer::AddUpstreamSuspects(
    const std::vector<SharedSuspect>& suspects, TimePoint now) {
  suspects_changed_ =
      upstream_suspects_.Add(suspects, now) || suspects_changed_;
}

auto RelayServer::Serve(const RelayQuery& query, HttpListener::Reply reply,
                        TimePoint now) -> bool {
  const auto advice = watchers_.Admit(query.watcher, now);
  const auto wait = HoldTimeOf(query);
  if (wait > Duration(0) && !advice.is_full) {
    held_calls_.push_back({query, now + wait, std::move(reply)});
    return true;
  }
  reply(AnswerTo(query, advice, now));
  return !advice.is_full;
}

// How long to hold a call. Calls that come before the first directory are held
// too: when a fleet starts, relays read the directory at the same time as their
// watchers.
auto RelayServer::HoldTimeOf(const RelayQuery& query) const -> Duration {
  if (!query.after) {
    return Duration(0);
  }
  if (!has_directory_) {
    return std::max(query.wait, kMinStartupHold);
  }
  const auto position = history_.position();
  const auto held = query.after->era == Era()
                        ? Position{position.era, query.after->revision}
                        : *query.after;
  const auto is_up_to_date = held >= position && !HasNewerRoutes(query);
  return is_up_to_date ? query.wait : Duration(0);
}

// Whether the watcher holds older routes than this instance: it may have read
// them from a store that was restored from a copy.
auto RelayServer::HasNewerRoutes(const RelayQuery& query) const -> bool {
  const auto routes = history_.routes();
  return routes != nullptr && query.version != Version() &&
         query.version < routes->version;
}

void RelayServer::AddReports(const HealthReports& reports, TimePoint now) {
  for (const auto& report : reports.reports) {
    const auto has_changed =
        health_.Report(report.reporter, report.observations, now);
    suspects_changed_ = suspects_changed_ || has_changed;
    upstream_suspects_.Clear(report.observations.alive);
    if (!reports.from_peer) {
      report_limiter_.Add(report, now);
    }
  }
}

auto RelayServer::Suspects(TimePoint now) const -> std::vector<SharedSuspect> {
  auto suspects = upstream_suspects_;
  suspects.Add(health_.Suspects(now), now);
  return suspects.Current(now);
}

auto RelayServer::Self() const -> Watcher {
  auto self = own_;
  self.has_capacity = has_directory_ && watchers_.HasCapacity();
  return self;
}

auto RelayServer::LocalWatchers() const -> std::vector<SocketAddress> {
  auto relays = watchers_.Successors(own_.data_centre);
  std::erase_if(relays, [this](const SocketAddress& relay) {
    return std::ranges::any_of(held_calls_, [&relay](const HeldCall& call) {
      return call.query.watcher.relay == relay;
    });
  });
  return relays;
}

void RelayServer::RedirectWatchers(TimePoint now) {
  watchers_.RedirectAll();
  for (const auto& entry : std::exchange(held_calls_, {})) {
    entry.reply(
        AnswerTo(entry.query, watchers_.Admit(entry.query.watcher, now), now));
  }
}

void RelayServer::OnTick(TimePoint now) {
  watchers_.OnTick(now);
  const auto has_new_suspects =
      suspects_changed_ && now >= next_suspect_answer_;
  if (has_new_suspects) {
    next_suspect_answer_ = now + kSuspectAnswerInterval;
  }
  if (BecomesOutdated(now) || has_new_suspects) {
    AnswerAll(now);
    return;
  }
  auto encoded = Encoded();
  for (auto entry = held_calls_.begin(); entry != held_calls_.end();) {
    if (now < entry->until) {
      ++entry;
      continue;
    }
    entry->reply(SharedAnswerTo(entry->query, encoded, now));
    entry = held_calls_.erase(entry);
  }
}

// Updates is_outdated_ and returns whether it has just become true. The
// watchers are answered then, because they may be able to reach the platform
// themselves.
auto RelayServer::BecomesOutdated(TimePoint now) -> bool {
  const auto was_outdated = std::exchange(is_outdated_, IsOutdated(now));
  return is_outdated_ && !was_outdated;
}

auto RelayServer::IsOutdated(TimePoint now) const -> bool {
  return state_at_(now).age > kMaxRelayAge;
}

void RelayServer::AnswerAll(TimePoint now) {
  suspects_changed_ = false;
  next_freshness_answer_ = now + kFreshnessAnswerInterval;
  answered_contact_ = now - state_at_(now).age;
  omits_speeds_ = !HasNewSpeeds(now);
  auto encoded = Encoded();
  for (const auto& entry : std::exchange(held_calls_, {})) {
    entry.reply(SharedAnswerTo(entry.query, encoded, now));
  }
  if (!std::exchange(omits_speeds_, false)) {
    speeds_sent_ = state_at_(now).speeds->at;
  }
}

auto RelayServer::HasNewSpeeds(TimePoint now) const -> bool {
  const auto speeds = state_at_(now).speeds;
  return speeds && speeds->at - speeds_sent_ >= kSpeedsInterval;
}

// The answer to a held call. It is the same for all callers of one data centre
// that hold the same directory, so it is encoded once.
auto RelayServer::SharedAnswerTo(const RelayQuery& query, Encoded& encoded,
                                 TimePoint now) const -> HttpReply {
  const auto data_centre = query.watcher.data_centre;
  const auto key = EncodedKey(*query.after, query.version, data_centre);
  if (const auto found = encoded.find(key); found != encoded.end()) {
    return {kOk, "application/cbor", found->second};
  }
  auto advice = RelayAdvice();
  advice.relays = watchers_.Successors(data_centre);
  auto reply = AnswerTo(query, advice, now);
  if (reply.status == kOk) {
    encoded.emplace(key, reply.body);
  }
  return reply;
}

auto RelayServer::AnswerTo(const RelayQuery& query, const RelayAdvice& advice,
                           TimePoint now) const -> HttpReply {
  if (!has_directory_) {
    return {kUnavailable, "text/plain", "no directory yet\n"};
  }
  if (!query.after) {
    return Encode(history_.All(), query, advice, now);
  }
  auto update = history_.Since(*query.after);
  if (!update) {
    return {kGone, "text/plain", "the changes are no longer kept\n"};
  }
  if (HasNewerRoutes(query)) {
    update->routes = history_.routes();
  }
  return Encode(*update, query, advice, now);
}

// As many speeds, the most different ones, as the answers to all watchers have
// room for. None when there is no room: a watcher takes endpoints that are not
// listed to be as fast as usual, so its own replies serve it better.
auto RelayServer::SpeedsToSend(std::optional<SharedSpeeds> speeds) const
    -> std::optional<SharedSpeeds> {
  const auto limit = SpeedsPerAnswer(watchers_.size());
  if (omits_speeds_ || !speeds || limit == 0) {
    return std::nullopt;
  }
  speeds->speeds.resize(std::min(speeds->speeds.size(), limit));
  return speeds;
}

auto RelayServer::Encode(const DirectoryUpdate& update, const RelayQuery& query,
                         const RelayAdvice& advice, TimePoint now) const
    -> HttpReply {
  auto state = state_at_(now);
  auto path = std::move(state.advice.path);
  state.advice = advice;
  state.advice.path = std::move(path);
  if (own_.relay.port != Port()) {
    state.advice.path.push_back(own_.relay);
  }
  state.suspects = Suspects(now);
  state.speeds = SpeedsToSend(std::move(state.speeds));
  const auto base = history_.RoutesOf(query.version);
  return {kOk, "application/cbor",
          EncodeUpdate(update, state, base.get(), now)};
}

}  // namespace hemlockwick
