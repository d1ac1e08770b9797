#include "Edge/directory_sync.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// How long the platform and a relay hold a watch. A lost connection is noticed
// within this time and the timeout, well before a new version has to be in
// force.
constexpr Duration kPlatformWatchTime = std::chrono::milliseconds(1000);
constexpr Duration kRelayWatchTime = std::chrono::milliseconds(1000);

// Time for an answer, beyond the time for which a watch is held. Relays are
// near, and there is another one.
constexpr Duration kPlatformTimeout = std::chrono::milliseconds(1000);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(500);

// After a change: the changes of this time are taken by one further call.
constexpr Duration kGatherTime = std::chrono::milliseconds(500);

// Wait before the platform is called again after a failure, doubled with each
// further one.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// The same for instances that are not relays: there are many of them.
constexpr Duration kPeerBackoff = std::chrono::seconds(2);

// How long a relay is left alone after a failure, and when it does not hear
// from the platform.
constexpr Duration kRelayBackoff = std::chrono::seconds(3);

// Without an up-to-date answer for this long the platform counts as lost.
constexpr Duration kLostTime = std::chrono::milliseconds(3000);

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
    : settings_(settings), random_(settings.seed), last_fresh_(now) {
  const auto first = settings.relays == 0 ? 0 : random_.Below(settings.relays);
  for (auto offset = std::size_t{0}; offset < settings.relays; ++offset) {
    relays_.push_back({(first + offset) % settings.relays, now, 0});
  }
  platform_.retry_at = now;
  Schedule(now, now);
}

auto DirectorySync::OnAnswer(const SyncAnswer& answer, TimePoint now) -> bool {
  auto& upstream = Find(next_.relay);
  auto is_taken = false;
  switch (answer.status) {
    case SyncStatus::kOk:
      is_taken = !answer.update.is_whole || answer.update.revision >= revision_;
      if (is_taken) {
        OnSuccess(upstream, answer, now);
      } else {
        OnFailure(upstream, now);
      }
      break;
    case SyncStatus::kHistoryLost:
      has_read_ = false;
      Schedule(now, now);
      break;
    case SyncStatus::kRefused:
    case SyncStatus::kUnreachable:
      OnFailure(upstream, now);
      break;
  }
  is_lost_ = now - last_fresh_ >= kLostTime;
  return is_taken;
}

void DirectorySync::OnSuccess(Upstream& upstream, const SyncAnswer& answer,
                              TimePoint now) {
  upstream.failures = 0;
  has_read_ = true;
  revision_ = std::max(revision_, answer.update.revision);
  last_fresh_ = std::max(last_fresh_, now - answer.age);
  // When one relay is out of date the others probably are too.
  is_searching_ = answer.age > kMaxRelayAge;
  if (is_searching_) {
    upstream.retry_at = now + random_.Jitter(kRelayBackoff);
  }
  // A relay has gathered already.
  const auto is_gathering =
      !upstream.relay && !answer.update.is_whole && answer.update.has_changes();
  if (upstream.relay) {
    Place(upstream, answer.data_centre);
  }
  Schedule(is_gathering ? now + kGatherTime : now, now);
}

// Notes where a relay is. Afterwards `upstream` may refer to another one.
void DirectorySync::Place(Upstream& upstream,
                          const std::optional<DataCentreId>& place) {
  // One that does not tell is as good as one nearby.
  const auto is_far = place && *place != settings_.data_centre;
  upstream.distance = is_far ? Distance::kFar : Distance::kNear;
  std::ranges::stable_sort(relays_, {}, &Upstream::distance);
}

void DirectorySync::OnFailure(Upstream& upstream, TimePoint now) {
  ++upstream.failures;
  is_searching_ = is_searching_ && upstream.relay;
  if (upstream.relay) {
    upstream.retry_at = now + random_.Jitter(kRelayBackoff);
  } else if (relays_.empty() || settings_.is_relay || !has_read_) {
    const auto doublings =
        std::min(upstream.failures - 1, kMaxBackoffDoublings);
    upstream.retry_at = now + random_.Jitter(kFirstBackoff * (1U << doublings));
  } else {
    upstream.retry_at = now + random_.Jitter(kPeerBackoff);
  }
  Schedule(now, now);
}

// Sets the next call, to be made at `not_before` or later.
void DirectorySync::Schedule(TimePoint not_before, TimePoint now) {
  const auto& upstream = Choose(now);
  next_ = SyncCall();
  next_.relay = upstream.relay;
  next_.at = std::max(not_before, upstream.retry_at);
  next_.timeout = upstream.relay ? kRelayTimeout : kPlatformTimeout;
  if (!has_read_) {
    return;
  }
  next_.kind = SyncCall::Kind::kWatch;
  next_.after = revision_;
  // An immediate answer shows after a failure that it is back, where a relay
  // is, and whether it is out of date too.
  const auto is_placed =
      !upstream.relay || upstream.distance != Distance::kUnknown;
  const auto is_probe = upstream.relay && is_searching_;
  if (upstream.failures == 0 && is_placed && !is_probe) {
    next_.wait = upstream.relay ? kRelayWatchTime : kPlatformWatchTime;
    next_.timeout += next_.wait;
  }
}

// The upstream of choice that may be called now, else the one that may be
// called first.
auto DirectorySync::Choose(TimePoint now) -> const Upstream& {
  const auto platform_first = !has_read_ || settings_.is_relay;
  auto order = std::vector<const Upstream*>();
  if (platform_first) {
    order.push_back(&platform_);
  }
  for (const auto& relay : relays_) {
    order.push_back(&relay);
  }
  if (!platform_first) {
    order.push_back(&platform_);
  }
  const auto ready = std::ranges::find_if(
      order, [now](const auto* upstream) { return upstream->retry_at <= now; });
  if (ready != order.end()) {
    return **ready;
  }
  return **std::ranges::min_element(
      order, {}, [](const auto* upstream) { return upstream->retry_at; });
}

auto DirectorySync::Find(const std::optional<std::size_t>& relay) -> Upstream& {
  if (!relay) {
    return platform_;
  }
  return *std::ranges::find(relays_, relay, &Upstream::relay);
}

}  // namespace hemlockwick
