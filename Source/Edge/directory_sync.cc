#include "Edge/directory_sync.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// How long the platform and a relay hold a watch. A lost connection is noticed
// within this time and the timeout, well before a new version has to be in
// force.
constexpr Duration kPlatformWatchTime = std::chrono::milliseconds(1000);
// Relays answer when they have heard from the platform, so a little longer.
constexpr Duration kRelayWatchTime = std::chrono::milliseconds(1200);

// Time for an answer, beyond the time for which a watch is held. Relays are
// near, and there is another one.
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(400);

// After a change: the changes of this time are taken by one further call.
constexpr Duration kCoalesceTime = std::chrono::milliseconds(500);

// Wait before the platform is called again after a failure, doubled with each
// further one.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// The same for instances that are not relays: there are many of them.
constexpr Duration kNonSeedBackoff = std::chrono::seconds(2);

// How long a relay is left alone that is full or does not hear from the
// platform, and after a failure, doubled with each further one.
constexpr Duration kRelayBackoff = std::chrono::seconds(3);
constexpr Duration kFirstRelayBackoff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxRelayDoublings = 5;

// An instance leaves its relay this much later for each relay above that, and
// when there are others that find a new way first: a tree that is cut off from
// the platform shall not read it all at once.
constexpr Duration kParentAgeStep = std::chrono::milliseconds(200);
constexpr std::size_t kMaxParentAgeSteps = 3;

// Wait before an instance looks again for news when nobody had any, doubled
// with each further time.
constexpr Duration kFirstSearchWait = std::chrono::seconds(3);
constexpr std::uint32_t kMaxSearchDoublings = 2;

// Bounds the way down the tree, and the relays between the platform and an
// instance.
constexpr std::size_t kMaxReferrals = 8;
constexpr std::size_t kMaxPathLength = 8;

// When so many relays have failed one after the other the platform is asked.
constexpr std::uint32_t kMaxFailedRelays = 3;

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
  } else if (answer.status == SyncStatus::kHistoryLost) {
    has_read_ = false;
    Schedule(now, now);
  } else {
    OnFailure(upstream, now);
  }
  is_lost_ = now - last_fresh_ >= kPlatformLostTimeout;
  return is_accepted;
}

// Nothing that is older than what is known: from an older directory, or a copy
// of an earlier answer, what has left would return. Nothing either that has
// come round to this instance again; one that has just started may stand in the
// path by its earlier life.
auto DirectorySync::IsAcceptable(const SyncAnswer& answer) const -> bool {
  const auto& path = answer.advice.path;
  const auto is_older = answer.update.revision < revision_;
  const auto is_loop =
      has_read_ && std::ranges::find(path, settings_.own_relay) != path.end();
  return !is_older && !is_loop && path.size() <= kMaxPathLength;
}

void DirectorySync::OnSuccess(Upstream& upstream, const SyncAnswer& answer,
                              TimePoint now) {
  upstream.failures = 0;
  has_read_ = true;
  platform_has_failed_ = false;
  revision_ = std::max(revision_, answer.update.revision);
  last_fresh_ = std::max(last_fresh_, now - answer.age);
  last_answer_from_platform_ = !upstream.relay;
  is_root_ = last_answer_from_platform_ && !answer.update.is_whole;
  failed_relays_ = 0;
  if (upstream.relay) {
    // A copy: the list changes.
    const auto relay = *upstream.relay;
    OnRelay(relay, answer, now);
    // A relay has gathered already.
    Schedule(now, now);
    return;
  }
  is_searching_ = false;
  failed_searches_ = 0;
  next_search_ = now;
  parent_.reset();
  path_.clear();
  const auto is_coalescing =
      !answer.update.is_whole && answer.update.has_changes();
  Schedule(is_coalescing ? now + kCoalesceTime : now, now);
}

void DirectorySync::OnRelay(const SocketAddress& relay,
                            const SyncAnswer& answer, TimePoint now) {
  // One that does not tell is as good as one nearby.
  const auto is_far =
      answer.data_centre && *answer.data_centre != settings_.data_centre;
  upstreams_.SetDistance(
      relay, is_far ? Upstream::Distance::kFar : Upstream::Distance::kNear);
  const auto is_fresh =
      answer.age <= (parent_ == relay ? MaxParentAge() : kMaxRelayAge);
  if (is_fresh) {
    failed_searches_ = 0;
    next_search_ = now;
  } else if (now >= next_search_) {
    BeginSearch(relay, now);
    return;
  }
  is_searching_ = false;
  if (answer.advice.is_full) {
    FollowReferral(relay, answer.advice, now);
  } else {
    AdoptParent(relay, answer.advice);
  }
}

// When one relay is out of date the others probably are too.
void DirectorySync::BeginSearch(const SocketAddress& relay, TimePoint now) {
  if (!is_searching_) {
    outdated_parent_ = parent_;
  }
  is_searching_ = true;
  ++failed_relays_;
  LeaveRelay(relay, now, kRelayBackoff);
}

// Nobody has news. An instance that is served goes back to where it was: the
// news will come that way, and relays pass on more than those.
void DirectorySync::EndSearch(TimePoint now) {
  is_searching_ = false;
  const auto doublings = std::min(failed_searches_, kMaxSearchDoublings);
  ++failed_searches_;
  next_search_ = now + random_.Jitter(kFirstSearchWait * (1U << doublings));
  if (outdated_parent_) {
    upstreams_.RetryNow(*std::exchange(outdated_parent_, std::nullopt), now);
  }
}

void DirectorySync::AdoptParent(const SocketAddress& relay,
                                const RelayAdvice& advice) {
  parent_ = relay;
  path_ = advice.path;
  referrals_ = 0;
  upstreams_.KeepOnlyReferred(relay);
  // Those before this instance find a new way first.
  const auto own = std::ranges::find(advice.relays, settings_.own_relay);
  successors_.assign(advice.relays.begin(), own);
}

// Goes to one of the relays that a full one has named.
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

// Leaves a relay that has failed or is out of date, for about the time.
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
  if (!upstreams_.has_referred()) {
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
  // One that others watch has to be in touch while it tries relays again.
  const auto keeps_platform_contact = is_root_ && failed_relays_ > 0;
  // A read that the platform has not answered goes to every seed in turn.
  const auto starts_reading = !has_read_ && !platform_has_failed_;
  const auto prefers_platform =
      has_read_ && (settings_.is_seed || keeps_platform_contact);
  const auto platform_first = starts_reading ||
                              (prefers_platform && !is_searching_) ||
                              failed_relays_ >= kMaxFailedRelays;
  const auto& upstream = upstreams_.Choose(platform_first, now);
  next_ = SyncCall();
  next_.relay = upstream.relay;
  next_.at = std::max(not_before, upstream.retry_at);
  next_.timeout = upstream.relay ? kRelayTimeout : kPlatformTimeout;
  if (has_read_) {
    next_.kind = SyncCall::Kind::kWatch;
    next_.after = revision_;
    next_.wait = WaitAt(upstream, now);
    next_.timeout += next_.wait;
  }
}

// How long the upstream shall hold a watch. An immediate answer shows after a
// failure that it is back, where a relay is, and whether it is out of date too;
// one of the platform makes this instance up to date for those who watch it.
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
    const auto is_probe = failed_relays_ > 0 && failed_searches_ == 0;
    return is_probe ? Duration(0) : kRelayWatchTime;
  }
  const auto remaining = MaxParentAge() - (now - last_fresh_);
  return remaining > Duration(0) ? std::min(kRelayWatchTime, remaining)
                                 : kRelayWatchTime;
}

// How old the news of the parent may be.
auto DirectorySync::MaxParentAge() const -> Duration {
  const auto above = path_.empty() ? 0 : path_.size() - 1;
  const auto others_first = successors_.empty() ? 0U : 1U;
  const auto steps = std::min(above + others_first, kMaxParentAgeSteps);
  return kMaxRelayAge + kParentAgeStep * steps;
}

}  // namespace hemlockwick
