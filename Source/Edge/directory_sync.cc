#include "Edge/directory_sync.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Hold time of a watch of the platform. A lost connection is noticed within
// this time plus the timeout, well before a new version has to be in force.
constexpr Duration kPlatformWatchTime = std::chrono::milliseconds(1000);
// Hold time of a watch of a relay. A little longer, because a relay answers its
// watchers when it has an answer of the platform itself.
constexpr Duration kRelayWatchTime = std::chrono::milliseconds(1200);

// Timeout of a call, in addition to its hold time. Relays are near, and there
// is another one to call.
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(400);

// Delay of the next call after a change, so that one call returns all changes
// of this time.
constexpr Duration kCoalesceTime = std::chrono::milliseconds(500);

// Backoff of calls to the platform, doubled with each further failure.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 2;
// The same for instances that are not seeds, without doubling. Longer because
// there are many of them.
constexpr Duration kNonSeedBackoff = std::chrono::seconds(2);

// Backoff of calls to a relay that is at its capacity or out of date, and to
// one that has failed. The latter is doubled with each further failure.
constexpr Duration kRelayBackoff = std::chrono::seconds(3);
constexpr Duration kFirstRelayBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxRelayDoublings = 5;

// An instance leaves an outdated parent this much later for each relay above
// the parent, and when there are other watchers that look for a new upstream
// first. Otherwise all instances of a tree that is cut off from the platform
// would read it at once.
constexpr Duration kParentAgeStep = std::chrono::milliseconds(200);
constexpr std::size_t kMaxParentAgeSteps = 3;

// Interval of searches while no up-to-date upstream is found. A version has to
// be in force within 3 s, and when the parent is cut off a search alone finds
// it. The first watchers of a parent ask the seeds and the platform themselves,
// the later ones less often.
constexpr Duration kSearchInterval = std::chrono::milliseconds(800);
constexpr Duration kSearchIntervalStep = std::chrono::milliseconds(400);
constexpr std::size_t kSearchingWatchers = 3;

// The same for the other watchers, doubled with each further search: the parent
// finds the upstream of one of the first and passes the directory on. Otherwise
// the whole fleet would call the seeds and the platform in an outage.
constexpr Duration kFirstSearchWait = std::chrono::seconds(3);
constexpr std::uint32_t kMaxSearchDoublings = 2;

// Limits on consecutive referrals, and on the relays between the platform and
// an instance.
constexpr std::size_t kMaxReferrals = 8;
constexpr std::size_t kMaxPathLength = 8;

// After this many failed relays in succession the platform is called.
constexpr std::uint32_t kMaxFailedRelays = 3;

// Interval of full reads for evacuations that relays of an earlier version have
// not passed on. Such a read may end at another of these relays.
constexpr Duration kEvacuationReadInterval = std::chrono::seconds(10);

// Without an up-to-date answer for this long the platform counts as lost.
constexpr Duration kPlatformLostTimeout = std::chrono::milliseconds(3000);

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

DirectorySync::DirectorySync(const SyncSettings& settings, TimePoint now)
    : settings_(settings),
      random_(settings.random_seed),
      upstreams_(settings.seeds, settings.data_centre, random_, now),
      last_fresh_(now) {
  Schedule(now, now);
}

auto DirectorySync::OnAnswer(const SyncAnswer& answer, TimePoint now) -> bool {
  auto& upstream = *upstreams_.Find(next_.relay);
  const auto is_accepted =
      answer.status == SyncStatus::kOk && IsAcceptable(answer);
  if (is_accepted) {
    OnSuccess(upstream, answer, now);
  } else if (answer.status == SyncStatus::kHistoryLost ||
             IsOfOtherEra(answer)) {
    has_read_ = false;
    Schedule(now, now);
  } else {
    OnFailure(upstream, now);
  }
  is_lost_ = now - last_fresh_ >= kPlatformLostTimeout;
  return is_accepted;
}

// Whether the platform has answered a watch from another era than that of the
// directory held. Revisions have been given out again since, so changes may be
// missing before those that it lists.
auto DirectorySync::IsOfOtherEra(const SyncAnswer& answer) const -> bool {
  return !next_.relay && answer.status == SyncStatus::kOk &&
         !answer.update.is_whole && answer.update.position.era != position_.era;
}

// Whether the update is older than the directory held. The platform's answers
// to successive calls show its present era; a relay may still be in an earlier
// one, and one of an earlier version does not tell it.
auto DirectorySync::IsOlder(const DirectoryUpdate& update) const -> bool {
  const auto is_new_era = !next_.relay && update.position.era != position_.era;
  return !is_new_era && update.position < position_;
}

// Rejects updates that are older than the directory held: from an outdated
// relay, or from a duplicate of an earlier answer, endpoints that have left
// would return. Also rejects updates that have passed this instance already,
// which means a loop of relays, or too many relays. An instance that has not
// read the directory yet accepts a path with its own address, which may be left
// from its previous process.
auto DirectorySync::IsAcceptable(const SyncAnswer& answer) const -> bool {
  const auto& path = answer.advice.path;
  const auto is_loop =
      has_read_ && std::ranges::find(path, settings_.own_relay) != path.end();
  return !IsOlder(answer.update) && !IsOfOtherEra(answer) && !is_loop &&
         path.size() <= kMaxPathLength;
}

void DirectorySync::OnSuccess(Upstream& upstream, const SyncAnswer& answer,
                              TimePoint now) {
  upstream.failures = 0;
  const auto is_first = position_ == Position();
  has_read_ = true;
  CheckEvacuations(answer.update, now);
  platform_has_failed_ = false;
  position_ = answer.update.position;
  last_fresh_ =
      is_first ? now - answer.age : std::max(last_fresh_, now - answer.age);
  last_answer_from_platform_ = !upstream.relay;
  is_root_ = last_answer_from_platform_ && !answer.update.is_whole;
  failed_relays_ = 0;
  if (upstream.relay) {
    // Copied because the list of upstreams changes below.
    const auto relay = *upstream.relay;
    OnRelay(relay, answer, now);
    // The relay has coalesced changes already.
    Schedule(now, now);
    return;
  }
  OnUpToDate(now);
  parent_.reset();
  path_.clear();
  const auto is_coalescing =
      !answer.update.is_whole && answer.update.has_changes();
  Schedule(is_coalescing ? now + kCoalesceTime : now, now);
}

// A relay of an earlier version tells no evacuations. Once an upstream knows
// them, this instance reads everything again: changes that it has received
// already may have included evacuations.
void DirectorySync::CheckEvacuations(const DirectoryUpdate& update,
                                     TimePoint now) {
  if (!update.has_all_evacuations) {
    lacks_evacuations_ = true;
  } else if (update.is_whole) {
    lacks_evacuations_ = false;
  } else if (lacks_evacuations_ && now >= next_evacuation_read_) {
    next_evacuation_read_ = now + random_.Jitter(kEvacuationReadInterval);
    has_read_ = false;
  }
}

void DirectorySync::OnRelay(const SocketAddress& relay,
                            const SyncAnswer& answer, TimePoint now) {
  // A relay of unknown data centre is treated like one nearby.
  const auto is_far =
      answer.data_centre && *answer.data_centre != settings_.data_centre;
  upstreams_.SetDistance(
      relay, is_far ? Upstream::Distance::kFar : Upstream::Distance::kNear);
  const auto is_fresh =
      answer.age <= (parent_ == relay ? MaxParentAge() : kMaxRelayAge);
  if (is_fresh) {
    OnUpToDate(now);
  } else if (now >= next_search_) {
    if (is_searching_) {
      ContinueSearch(relay, now);
      return;
    }
    if (BeginSearch(relay, now)) {
      return;
    }
  }
  is_searching_ = false;
  if (answer.advice.is_full) {
    FollowReferral(relay, answer.advice, now);
  } else {
    AdoptParent(relay, answer.advice);
  }
}

// An up-to-date upstream was found.
void DirectorySync::OnUpToDate(TimePoint now) {
  is_searching_ = false;
  outdated_parent_.reset();
  failed_searches_ = 0;
  next_search_ = now;
  next_source_search_ = now;
}

// Looks for an up-to-date upstream. When one relay is out of date the others
// probably are too, so they are asked for an immediate answer. Own watchers
// that have left may have found one. Returns false when there is nobody to ask
// yet.
auto DirectorySync::BeginSearch(const SocketAddress& relay, TimePoint now)
    -> bool {
  const auto asks_sources = now >= next_source_search_;
  if (!asks_sources && watchers_.empty()) {
    next_search_ = now + SearchInterval(0);
    return false;
  }
  is_searching_ = true;
  asks_sources_ = asks_sources;
  asks_all_sources_ = false;
  sources_left_ = 0;
  search_rank_ = successors_.size();
  outdated_parent_ = parent_ ? parent_ : outdated_parent_;
  ++failed_relays_;
  auto referred = watchers_;
  if (asks_sources) {
    referred.insert(referred.end(), successors_.begin(), successors_.end());
    // Few instances are directly below a seed, so these ask all sources again,
    // and the others one after the other, every second time the platform.
    const auto is_below_seed = settings_.is_seed || path_.size() <= 1;
    asks_all_sources_ = is_below_seed || failed_searches_ == 0;
    sources_left_ = asks_all_sources_ ? upstreams_.sources() : 1;
    if (is_below_seed && failed_searches_ > 0) {
      upstreams_.RetryAll(now);
    }
  }
  LeaveRelay(relay, now, kRelayBackoff);
  if (failed_searches_ > 0) {
    upstreams_.SetReferred(referred, now);
  }
  EndSearchWithoutUpstream(now);
  return true;
}

// Goes on after a relay that the search has found to be out of date.
void DirectorySync::ContinueSearch(const SocketAddress& relay, TimePoint now) {
  ++failed_relays_;
  // A seed above the parent is as outdated as that.
  const auto is_above = std::ranges::find(path_, relay) != path_.end();
  if (sources_left_ > 0 && upstreams_.IsSeed(relay) && !is_above) {
    --sources_left_;
  }
  LeaveRelay(relay, now, kRelayBackoff);
  EndSearchWithoutUpstream(now);
}

// Ends the search when all upstreams that it may ask have been asked.
void DirectorySync::EndSearchWithoutUpstream(TimePoint now) {
  if (is_searching_ && !upstreams_.HasReady(sources_left_ == 0, now)) {
    EndSearch(now);
  }
}

// No upstream is up to date. An instance that had a parent returns to it:
// changes will arrive there once the platform is back, and relays also pass on
// health reports.
void DirectorySync::EndSearch(TimePoint now) {
  is_searching_ = false;
  next_search_ = now + SearchInterval(0);
  if (asks_sources_) {
    const auto doublings = std::min(failed_searches_, kMaxSearchDoublings);
    next_source_search_ =
        now + (search_rank_ < kSearchingWatchers
                   ? SearchInterval(search_rank_)
                   : random_.Jitter(kFirstSearchWait * (1U << doublings)));
    ++failed_searches_;
  }
  if (outdated_parent_) {
    upstreams_.RetryNow(*outdated_parent_, now);
  }
}

// The interval of searches with so many watchers before this one, a quarter
// more or less.
auto DirectorySync::SearchInterval(std::size_t rank) -> Duration {
  const auto time = kSearchInterval + kSearchIntervalStep * rank;
  return time * 3 / 4 + random_.DurationBelow(time / 2);
}

void DirectorySync::AdoptParent(const SocketAddress& relay,
                                const RelayAdvice& advice) {
  parent_ = relay;
  path_ = advice.path;
  referrals_ = 0;
  upstreams_.KeepOnlyReferred(relay);
  // The watchers listed before this instance look for a new upstream first.
  const auto own = std::ranges::find(advice.relays, settings_.own_relay);
  successors_.assign(advice.relays.begin(), own);
}

// Moves to one of the relays to which a relay at its capacity refers.
void DirectorySync::FollowReferral(const SocketAddress& relay,
                                   const RelayAdvice& advice, TimePoint now) {
  if (parent_ == relay) {
    parent_.reset();
  }
  upstreams_.BackOff(relay, now + random_.Jitter(kRelayBackoff));
  if (++referrals_ > kMaxReferrals) {
    referrals_ = 0;
    upstreams_.SetReferred({}, now);
    return;
  }
  auto relays = advice.relays;
  std::erase(relays, settings_.own_relay);
  upstreams_.SetReferred(relays, now);
}

// Leaves a relay that has failed or is out of date, for about `time`.
void DirectorySync::LeaveRelay(const SocketAddress& relay, TimePoint now,
                               Duration time) {
  upstreams_.BackOff(relay, now + random_.Jitter(time));
  if (parent_ == relay) {
    parent_.reset();
    upstreams_.SetReferred(std::exchange(successors_, {}), now);
  }
}

void DirectorySync::OnFailure(Upstream& upstream, TimePoint now) {
  ++upstream.failures;
  if (upstream.relay) {
    const auto relay = *upstream.relay;
    const auto doublings = std::min(upstream.failures - 1, kMaxRelayDoublings);
    ++failed_relays_;
    LeaveRelay(relay, now, kFirstRelayBackoff * (1U << doublings));
    EndSearchWithoutUpstream(now);
    Schedule(now, now);
    return;
  }
  platform_has_failed_ = true;
  if (!has_read_) {
    failed_relays_ = 0;
  }
  if (is_searching_) {
    EndSearch(now);
  }
  if (!upstreams_.HasReady(true, now)) {
    upstreams_.SetReferred(watchers_, now);
  }
  if (!upstreams_.has_seeds() || settings_.is_seed || !has_read_) {
    const auto doublings =
        std::min(upstream.failures - 1, kMaxBackoffDoublings);
    upstream.retry_at = now + random_.Jitter(kFirstBackoff * (1U << doublings));
  } else {
    upstream.retry_at = now + random_.Jitter(kNonSeedBackoff);
  }
  Schedule(now, now);
}

// Sets the next call, to be made at `not_before` or later.
void DirectorySync::Schedule(TimePoint not_before, TimePoint now) {
  // An instance that watches the platform keeps doing so while it calls relays
  // again, because others may watch it.
  const auto keeps_platform_contact = is_root_ && failed_relays_ > 0;
  // An initial read goes to the platform first, and when that fails to each
  // seed in turn.
  const auto starts_reading = !has_read_ && !platform_has_failed_;
  const auto prefers_platform =
      has_read_ && (settings_.is_seed || keeps_platform_contact);
  const auto platform_first =
      starts_reading ||
      (is_searching_ ? SearchesPlatformNext(now)
                     : prefers_platform || failed_relays_ >= kMaxFailedRelays);
  const auto& upstream = upstreams_.Choose(platform_first, now);
  next_ = SyncCall();
  next_.relay = upstream.relay;
  next_.at = std::max(not_before, upstream.retry_at);
  next_.timeout = upstream.relay ? kRelayTimeout : kPlatformTimeout;
  if (has_read_) {
    next_.kind = SyncCall::Kind::kWatch;
    next_.after = position_;
    next_.wait = WaitAt(upstream, now);
    next_.timeout += next_.wait;
  }
}

// Whether a search goes on with the platform, before the seeds.
auto DirectorySync::SearchesPlatformNext(TimePoint now) const -> bool {
  if (asks_all_sources_) {
    return failed_relays_ >= kMaxFailedRelays;
  }
  const auto is_turn = failed_searches_ % 2 != 0;
  return sources_left_ > 0 && is_turn && !upstreams_.HasReady(true, now);
}

// How long the upstream should hold a watch. An immediate answer is requested
// after a failure, to learn whether the upstream is back; from a relay of
// unknown data centre, to learn where it is; and during a search, to learn
// whether the relay is out of date. The first watch of the platform is answered
// immediately to make this instance up to date for its own watchers.
auto DirectorySync::WaitAt(const Upstream& upstream, TimePoint now) const
    -> Duration {
  if (upstream.failures > 0) {
    return Duration(0);
  }
  if (!upstream.relay) {
    return last_answer_from_platform_ ? kPlatformWatchTime : Duration(0);
  }
  if (upstream.distance == Upstream::Distance::kUnknown || is_searching_) {
    return Duration(0);
  }
  if (parent_ != upstream.relay) {
    const auto is_probe = failed_relays_ > 0 || failed_searches_ > 0;
    return is_probe ? Duration(0) : kRelayWatchTime;
  }
  const auto outdated_at = last_fresh_ + MaxParentAge();
  const auto remaining = std::max(outdated_at, next_search_) - now;
  return remaining > Duration(0)
             ? std::min<Duration>(kRelayWatchTime, remaining)
             : kRelayWatchTime;
}

// Maximum age of the parent's information from the platform before the parent
// counts as out of date.
auto DirectorySync::MaxParentAge() const -> Duration {
  const auto above = path_.empty() ? 0 : path_.size() - 1;
  const auto others_first = successors_.empty() ? 0U : 1U;
  const auto steps = std::min(above + others_first, kMaxParentAgeSteps);
  return kMaxRelayAge + kParentAgeStep * steps;
}

}  // namespace hemlockwick
