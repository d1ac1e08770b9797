#include "Fleet/config_sync.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// A fetch that is not answered within this time is sent to another peer.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(300);

// Delay before another peer is asked after a fetch has failed.
constexpr Duration kRetryDelay = std::chrono::milliseconds(30);

// A new version is announced to the first number of peers at once, and to the
// second number after a delay, for peers that missed the first announcement.
constexpr std::size_t kFirstAnnouncements = 2;
constexpr std::size_t kLaterAnnouncements = 2;
constexpr Duration kLaterAnnouncementDelay = std::chrono::milliseconds(400);

// A starting instance waits this long to hear the highest version from a peer
// before it accepts the platform's version, which may be outdated.
constexpr Duration kStartupGracePeriod = std::chrono::seconds(3);

// A starting instance waits this long for a version that a peer has advertised
// before it accepts an older one.
constexpr Duration kOlderVersionGracePeriod = std::chrono::seconds(10);

constexpr std::size_t kMaxAdvertisers = 4;

// When more shards than this are missing they are read from the platform
// instead of a peer.
constexpr std::size_t kMaxShardsFromPeers = 32;

// Shard bodies in one offer, in bytes. A single larger shard is still sent.
constexpr std::size_t kMaxOfferBytes = 60'000;

// Refused versions that are remembered, so that each is reported once.
constexpr std::size_t kMaxRefusedVersions = 64;

}  // namespace

ConfigSync::ConfigSync(NodeState& state, PlatformReader& reader, bool has_seeds,
                       TimePoint now)
    : state_(state), reader_(reader), has_seeds_(has_seeds), started_(now) {}

void ConfigSync::OnTick(TimePoint now) {
  if (now >= announce_at_) {
    announce_at_ = TimePoint::max();
    state_.SendGossip(kLaterAnnouncements, now);
  }
  if (is_awaiting_peers_) {
    AdvanceCandidate(now);
  }
  if (now >= retry_at_) {
    ++attempts_;
    retry_at_ = TimePoint::max();
    is_fetching_ = false;
    if (HasWork()) {
      StartFetch(now);
    }
  }
}

auto ConfigSync::NextTick() const -> TimePoint {
  auto next = std::min(retry_at_, announce_at_);
  if (is_awaiting_peers_) {
    const auto is_older =
        state_.store.candidate()->version < advertised_.version;
    next = std::min(next, started_ + (is_older ? kOlderVersionGracePeriod
                                               : kStartupGracePeriod));
  }
  return next;
}

auto ConfigSync::HasWork() const -> bool {
  return state_.store.candidate().has_value() ||
         advertised_.version > state_.store.version();
}

void ConfigSync::OnIndex(const std::string& body, TimePoint now) {
  OnIndexBody(body, true, now);
}

void ConfigSync::OnIndexBody(const std::string& body, bool from_platform,
                             TimePoint now) {
  auto reason = std::string();
  auto index =
      TryOr([&body]() -> Result<PublishedIndex> { return DecodeIndex(body); },
            [&reason](const Error& error) {
              reason = error.message;
              return PublishedIndex();
            });
  if (!reason.empty()) {
    // The value has no readable version. The hash of its body distinguishes it
    // from other malformed values.
    Refuse(Version(), Digest(HashBytes(body)), reason, now);
    return;
  }
  const auto& candidate = state_.store.candidate();
  const auto is_known = candidate && candidate->version >= index.version;
  if (is_known || !IsWanted(index.version, index.digest, now)) {
    return;
  }
  candidate_from_platform_ = from_platform;
  state_.store.BeginCandidate(body, std::move(index));
  AdvanceCandidate(now);
}

// Returns whether the version is higher than the one in force and has not been
// refused. Records a refusal when the version in force has been published again
// with different content.
auto ConfigSync::IsWanted(Version version, Digest digest, TimePoint now)
    -> bool {
  const auto& store = state_.store;
  if (store.config() != nullptr && version == store.version() &&
      digest != store.digest()) {
    Refuse(version, digest,
           "the version is in force with other content; publish the change "
           "under a higher version",
           now);
    return false;
  }
  return version > store.version() && !refused_.contains({version, digest});
}

void ConfigSync::OnShard(const std::string& body, TimePoint now) {
  if (!body.empty()) {
    const auto reason = TryOr(
        [this, &body]() -> Result<std::string> {
          BOOST_LEAF_CHECK(state_.store.AddShard(body));
          return std::string();
        },
        [](const Error& error) { return error.message; });
    const auto& candidate = state_.store.candidate();
    if (!reason.empty() && candidate) {
      Refuse(candidate->version, candidate->digest, reason, now);
      state_.store.DropCandidate();
    }
  }
  AdvanceCandidate(now);
}

void ConfigSync::OnGossip(InstanceId from, const Gossip& gossip,
                          TimePoint now) {
  if (gossip.version < state_.store.version()) {
    state_.SendGossipTo(from, now);
  }
  OnAdvertised(from, gossip.version, gossip.digest, now);
}

void ConfigSync::OnAdvertised(InstanceId from, Version version, Digest digest,
                              TimePoint now) {
  if (version == Version() || !IsWanted(version, digest, now) ||
      version < advertised_.version) {
    return;
  }
  if (version > advertised_.version) {
    advertised_ = Advertised{version, digest, {}};
    attempts_ = 0;
  }
  std::erase(advertised_.peers, from);
  advertised_.peers.push_back(from);
  if (advertised_.peers.size() > kMaxAdvertisers) {
    advertised_.peers.erase(advertised_.peers.begin());
  }
  if (!is_fetching_) {
    StartFetch(now);
  }
}

void ConfigSync::StartFetch(TimePoint now) {
  is_fetching_ = true;
  retry_at_ = now + kFetchTimeout;
  const auto& candidate = state_.store.candidate();
  const auto is_newest = candidate && candidate->version >= advertised_.version;
  if (is_newest) {
    RequestMissingShards(now);
  } else {
    FetchFromPeer(now);
  }
}

void ConfigSync::FetchFromPeer(TimePoint now) {
  if (advertised_.peers.empty()) {
    return;
  }
  const auto turn = attempts_ % advertised_.peers.size();
  const auto peer = advertised_.peers[advertised_.peers.size() - 1 - turn];
  const auto* record = state_.members.Find(peer);
  if (record == nullptr) {
    return;
  }
  auto fetch = ConfigFetch();
  fetch.at_least = advertised_.version;
  if (!wants_full_index_) {
    fetch.have_version = state_.store.version();
    fetch.have_digest = state_.store.digest();
  }
  state_.outbox.Send(record->member, std::move(fetch), TrafficClass::kGossip,
                     now);
}

// Requests the candidate's missing shards, alternating between the platform and
// peers from one attempt to the next.
void ConfigSync::RequestMissingShards(TimePoint now) {
  auto missing = state_.store.MissingKeys();
  const auto prefers_platform = candidate_from_platform_ ||
                                missing.size() > kMaxShardsFromPeers ||
                                advertised_.peers.empty();
  const auto is_odd_attempt = attempts_ % 2 == 1;
  if (prefers_platform != is_odd_attempt) {
    reader_.ReadShards(missing, now);
    return;
  }
  auto peers = advertised_.peers;
  if (peers.empty()) {
    peers = state_.Sample(state_.members.ring_peers(), 1, InstanceId());
  }
  if (peers.empty()) {
    return;
  }
  const auto* record = state_.members.Find(peers[attempts_ % peers.size()]);
  if (record == nullptr) {
    return;
  }
  if (missing.size() > kMaxShardsFromPeers) {
    missing.resize(kMaxShardsFromPeers);
  }
  auto fetch = ConfigFetch();
  fetch.shard_keys = std::move(missing);
  state_.outbox.Send(record->member, std::move(fetch), TrafficClass::kGossip,
                     now);
}

// Requests what the candidate still lacks, accepts it when it is complete, or
// holds it until MayAccept allows it.
void ConfigSync::AdvanceCandidate(TimePoint now) {
  is_awaiting_peers_ = false;
  if (!state_.store.candidate()) {
    return;
  }
  if (!state_.store.MissingKeys().empty()) {
    attempts_ = 0;
    StartFetch(now);
    return;
  }
  if (MayAccept(now)) {
    Accept(now);
  } else {
    is_awaiting_peers_ = true;
  }
}

// The platform may serve an outdated version after a rollback. A starting
// instance therefore accepts its first version only once a peer has answered,
// no peer is known, or the grace period has passed.
auto ConfigSync::MayAccept(TimePoint now) const -> bool {
  if (state_.store.config() != nullptr) {
    return true;
  }
  const auto age = now - started_;
  if (state_.store.candidate()->version < advertised_.version) {
    return age >= kOlderVersionGracePeriod;
  }
  const auto has_peers =
      has_seeds_ || !state_.has_list || !state_.members.peers().empty();
  return state_.probe_acks > 0 || !has_peers || age >= kStartupGracePeriod;
}

void ConfigSync::Accept(TimePoint now) {
  const auto candidate = *state_.store.candidate();
  const auto reason = TryOr(
      [this]() -> Result<std::string> {
        BOOST_LEAF_CHECK(state_.store.AcceptCandidate());
        return std::string();
      },
      [](const Error& error) { return error.message; });
  is_fetching_ = false;
  retry_at_ = TimePoint::max();
  wants_full_index_ = false;
  if (!reason.empty()) {
    Refuse(candidate.version, candidate.digest, reason, now);
    return;
  }
  const auto version = std::to_string(candidate.version.value());
  state_.events.Record(EventKind::kVersionAccepted, version, "", now);
  state_.events.Record(EventKind::kVersionInForce, version, "", now);
  state_.outbox.Add(ConfigInForce{state_.store.config()});
  state_.SendGossip(kFirstAnnouncements, now);
  // In a large fleet the heartbeats inform peers that missed the announcement.
  if (state_.members.ring_peers().size() <= kSingleRingMembers) {
    announce_at_ = now + kLaterAnnouncementDelay;
  }
  if (advertised_.version > state_.store.version()) {
    StartFetch(now);
  }
}

void ConfigSync::Refuse(Version version, Digest digest,
                        const std::string& reason, TimePoint now) {
  if (refused_.size() >= kMaxRefusedVersions) {
    refused_.erase(refused_.begin());
  }
  if (!refused_.insert({version, digest}).second) {
    return;
  }
  if (advertised_.version == version && advertised_.digest == digest) {
    advertised_ = Advertised();
  }
  state_.events.Record(EventKind::kVersionRefused,
                       std::to_string(version.value()), reason, now);
  state_.outbox.Add(ConfigRefused{version, reason});
}

void ConfigSync::OnFetch(InstanceId from, const ConfigFetch& fetch,
                         TimePoint now) {
  const auto* record = state_.members.Find(from);
  if (record == nullptr || state_.store.version() < fetch.at_least) {
    return;
  }
  auto offer = state_.store.MakeOffer(fetch, kMaxOfferBytes);
  const auto is_delta = offer.delta.has_value();
  state_.outbox.Send(record->member, std::move(offer),
                     is_delta ? TrafficClass::kGossip : TrafficClass::kBulk,
                     now);
}

void ConfigSync::OnOffer(InstanceId /*from*/, const ConfigOffer& offer,
                         TimePoint now) {
  if (offer.delta) {
    const auto& candidate = state_.store.candidate();
    const auto is_newer =
        offer.delta->version > state_.store.version() &&
        (!candidate || offer.delta->version > candidate->version);
    if (is_newer) {
      // When the delta cannot be applied the full index is fetched instead.
      wants_full_index_ = TryOr(
          [this, &offer]() -> Result<bool> {
            BOOST_LEAF_CHECK(state_.store.BeginCandidate(*offer.delta));
            return false;
          },
          [](const Error&) { return true; });
      candidate_from_platform_ = false;
      if (wants_full_index_) {
        retry_at_ = now + kRetryDelay;
      }
    }
  } else if (!offer.index_body.empty()) {
    OnIndexBody(offer.index_body, false, now);
  }
  for (const auto& body : offer.shard_bodies) {
    // A malformed shard stays missing and is requested again.
    TryOr(
        [this, &body]() -> Result<void> { return state_.store.AddShard(body); },
        [](const Error&) {});
  }
  AdvanceCandidate(now);
}

void ConfigSync::OnSendFailed(InstanceId to, TimePoint now) {
  std::erase(advertised_.peers, to);
  if (is_fetching_) {
    retry_at_ = std::min(retry_at_, now + kRetryDelay);
  }
}

void ConfigSync::OnPause(TimePoint now) {
  advertised_ = Advertised();
  is_fetching_ = false;
  announce_at_ = TimePoint::max();
  retry_at_ = state_.store.candidate() ? now + kFetchTimeout : TimePoint::max();
}

}  // namespace hemlockwick
