#include "Fleet/failure_detector.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Interval between the rounds of a verification.
constexpr Duration kRoundInterval = std::chrono::milliseconds(150);

// Rounds without an answer after which the member is marked as suspected.
constexpr int kRoundsBeforeSuspicion = 2;

// Peers that are asked for an indirect probe in each round but the first.
constexpr std::size_t kIndirectProbers = 3;

// A member that has been suspected for longer than this is verified again,
// because the instance that raised the suspicion may have failed itself.
constexpr Duration kSuspicionReviewTime = std::chrono::milliseconds(2500);

// An isolated instance, one that receives no messages at all, declares members
// of its own data centre dead only after this time without any message, and
// members of other data centres not at all.
constexpr Duration kIsolationTimeout = std::chrono::seconds(10);

// A starting instance probes this many peers, and repeats that at an interval
// until enough of them have answered or the time is over.
constexpr std::size_t kJoinProbePeers = 4;
constexpr std::size_t kRequiredJoinAcks = 2;
constexpr Duration kJoinProbeInterval = std::chrono::milliseconds(300);
constexpr Duration kJoinProbeTime = std::chrono::seconds(3);

// In a large fleet an extra peer is probed once in this many periods.
constexpr std::uint64_t kExtraProbePeriods = 4;

// The sender's full record is included in one of this many heartbeats.
constexpr std::uint64_t kSelfUpdatePeriods = 16;

// It is also included in this many first heartbeats to a new receiver.
constexpr int kFirstSelfUpdates = 2;

// Member records sent to a peer whose ring digest differs, to repair its view.
constexpr std::size_t kRepairPageMembers = 6;

}  // namespace

FailureDetector::FailureDetector(NodeState& state,
                                 std::vector<SocketAddress> seeds,
                                 TimePoint now)
    : state_(state),
      seeds_(std::move(seeds)),
      started_(now),
      next_period_(now +
                   Duration(static_cast<Duration::rep>(state.random.Below(
                       static_cast<std::uint64_t>(kHeartbeatPeriod.count()))))),
      next_join_probe_(now) {}

void FailureDetector::OnTick(TimePoint now) {
  if (now >= next_join_probe_) {
    const auto is_done = state_.probe_acks >= kRequiredJoinAcks ||
                         now - started_ > kJoinProbeTime;
    next_join_probe_ = is_done ? TimePoint::max() : now + kJoinProbeInterval;
    if (!is_done) {
      SendJoinProbes(kJoinProbePeers, now);
    }
  }
  ExpireProbes(now);
  if (now >= next_period_) {
    next_period_ = now + kHeartbeatPeriod;
    RunPeriod(now);
  }
  MonitorPredecessor(now);
  RunVerifications(now);
}

auto FailureDetector::NextTick() const -> TimePoint {
  auto next = std::min(next_period_, next_join_probe_);
  const auto* monitored = state_.members.Find(monitored_);
  if (monitored != nullptr && !verifications_.contains(monitored_)) {
    next = std::min(next, std::max(monitored->last_contact, monitored_since_) +
                              kHeartbeatTimeout);
  }
  for (const auto& [sequence, probe] : pending_) {
    next = std::min(next, probe.expires);
  }
  for (const auto& [target, verification] : verifications_) {
    next = std::min(next, verification.next_round);
  }
  return next;
}

void FailureDetector::SendJoinProbes(std::size_t count, TimePoint now) {
  for (const auto peer :
       state_.Sample(state_.members.peers(), count, InstanceId())) {
    SendProbe(peer, now);
  }
  if (!state_.members.peers().empty()) {
    return;
  }
  for (const auto& seed : seeds_) {
    auto probe = state_.Compose<Probe>(InstanceId(), now);
    probe.updates.insert(probe.updates.begin(),
                         state_.members.UpdateOf(state_.members.self()));
    state_.outbox.Send(seed, std::move(probe), TrafficClass::kProbe, now);
  }
}

auto FailureDetector::SendProbe(InstanceId target, TimePoint now)
    -> std::uint64_t {
  const auto* record = state_.members.Find(target);
  if (record == nullptr) {
    return 0;
  }
  const auto& self = state_.members.self();
  if (sent_incarnation_ != self.member.incarnation) {
    sent_incarnation_ = self.member.incarnation;
    peers_with_own_record_.clear();
  }
  auto probe = state_.Compose<Probe>(target, now);
  probe.sequence = next_sequence_++;
  if (!peers_with_own_record_.contains(target)) {
    probe.updates.insert(probe.updates.begin(), state_.members.UpdateOf(self));
  }
  if (!IsServing(record->member.state) ||
      record->member.state == MemberState::kSuspect) {
    // Lets the member refute a wrong suspicion or death.
    probe.updates.push_back(state_.members.UpdateOf(*record));
  }
  const auto sequence = probe.sequence;
  pending_.emplace(sequence, PendingProbe{target, now, now + kProbeTimeout,
                                          InstanceId(), 0});
  state_.outbox.Send(record->member, std::move(probe), TrafficClass::kProbe,
                     now);
  return sequence;
}

void FailureDetector::RunPeriod(TimePoint now) {
  ++periods_;
  state_.view_changed =
      state_.members.ExpireTombstones(now) || state_.view_changed;
  SendHeartbeat(now);
  const auto is_large = state_.members.peers().size() >= kSingleRingMembers;
  if (is_large && periods_ % kExtraProbePeriods == 0) {
    ProbeExtraPeer(now);
  }
  ProbeSuspect(now);
  VerifyLongSuspected(state_.members.predecessors(), now);
  VerifyLongSuspected(state_.members.remote_peers(), now);
}

void FailureDetector::SendHeartbeat(TimePoint now) {
  const auto* next =
      state_.members.Find(FirstUnsuspected(state_.members.successors()));
  if (next == nullptr) {
    return;
  }
  if (next->member.id != heartbeat_target_) {
    heartbeat_target_ = next->member.id;
    self_updates_left_ = kFirstSelfUpdates;
  }
  auto heartbeat = state_.Compose<Gossip>(next->member.id, now);
  if (self_updates_left_ > 0 || periods_ % kSelfUpdatePeriods == 0) {
    // The monitoring instance has to know this incarnation: a declaration of
    // death with an older incarnation would be ignored by the others.
    self_updates_left_ = std::max(self_updates_left_ - 1, 0);
    heartbeat.updates.push_back(state_.members.UpdateOf(state_.members.self()));
  }
  state_.outbox.Send(next->member, std::move(heartbeat), TrafficClass::kProbe,
                     now);
}

// Starts a verification of the ring predecessor when its heartbeats are
// overdue.
void FailureDetector::MonitorPredecessor(TimePoint now) {
  const auto previous = FirstUnsuspected(state_.members.predecessors());
  if (previous != monitored_) {
    monitored_ = previous;
    monitored_since_ = now;
  }
  const auto* record = state_.members.Find(monitored_);
  if (record != nullptr &&
      now - std::max(record->last_contact, monitored_since_) >=
          kHeartbeatTimeout) {
    Verify(monitored_, now, now + kVerificationTime, now);
  }
}

auto FailureDetector::FirstUnsuspected(const std::vector<InstanceId>& ids) const
    -> InstanceId {
  for (const auto id : ids) {
    if (state_.members.Find(id)->member.state != MemberState::kSuspect) {
      return id;
    }
  }
  return {};
}

// Alternates between a contact in another data centre and a random ring peer,
// so that updates spread beyond ring neighbours and differing views are
// repaired.
void FailureDetector::ProbeExtraPeer(TimePoint now) {
  const auto& far = state_.members.remote_peers();
  const auto turn = periods_ / kExtraProbePeriods;
  if (!far.empty() && turn % 2 == 0) {
    SendProbe(far[(turn / 2) % far.size()], now);
    return;
  }
  for (const auto peer :
       state_.Sample(state_.members.ring_peers(), 1, InstanceId())) {
    SendProbe(peer, now);
  }
}

// Probes a random suspected member to detect when it becomes reachable again.
void FailureDetector::ProbeSuspect(TimePoint now) {
  auto suspects = std::vector<InstanceId>();
  for (const auto peer : state_.members.peers()) {
    const auto state = state_.members.Find(peer)->member.state;
    if (state == MemberState::kSuspect && !verifications_.contains(peer)) {
      suspects.push_back(peer);
    }
  }
  for (const auto suspect : state_.Sample(suspects, 1, InstanceId())) {
    SendProbe(suspect, now);
  }
}

void FailureDetector::ExpireProbes(TimePoint now) {
  auto late = std::vector<PendingProbe>();
  std::erase_if(pending_, [now, &late](const auto& entry) {
    const auto is_expired = now >= entry.second.expires;
    if (is_expired) {
      late.push_back(entry.second);
    }
    return is_expired;
  });
  for (const auto& probe : late) {
    peers_with_own_record_.erase(probe.target);
    const auto* record = state_.members.Find(probe.target);
    const auto is_already_suspected =
        record == nullptr || record->member.state == MemberState::kSuspect ||
        record->member.state == MemberState::kDead;
    if (probe.requester != InstanceId()) {
      // Shows the requester that it is not isolated itself.
      state_.SendGossipTo(probe.requester, now);
    } else if (!is_already_suspected) {
      Verify(probe.target, probe.sent, probe.sent + kDeathTimeout, now);
    }
  }
}

void FailureDetector::Verify(InstanceId target, TimePoint started,
                             TimePoint deadline, TimePoint now) {
  verifications_.try_emplace(target, Verification{started, deadline, now, 0});
}

void FailureDetector::VerifyDataCentre(DataCentreId id, TimePoint now) {
  for (const auto peer : state_.members.peers()) {
    const auto& member = state_.members.Find(peer)->member;
    if (member.data_centre == id && member.state == MemberState::kAlive) {
      Verify(peer, now, now + kDeathTimeout, now);
    }
  }
}

void FailureDetector::VerifyLongSuspected(
    const std::vector<InstanceId>& candidates, TimePoint now) {
  for (const auto id : candidates) {
    const auto* record = state_.members.Find(id);
    if (record->member.state == MemberState::kSuspect &&
        now - record->state_since > kSuspicionReviewTime &&
        !state_.members.IsUnreachable(record->member.data_centre)) {
      Verify(id, now, now + kDeathTimeout, now);
    }
  }
}

void FailureDetector::RunVerifications(TimePoint now) {
  auto finished = std::vector<InstanceId>();
  for (auto& [target, verification] : verifications_) {
    if (now < verification.next_round) {
      continue;
    }
    const auto* record = state_.members.Find(target);
    const auto is_settled = record == nullptr ||
                            record->member.state == MemberState::kDead ||
                            (record->last_contact >= verification.started &&
                             record->member.state != MemberState::kSuspect);
    if (is_settled || now >= verification.deadline) {
      finished.push_back(target);
    }
  }
  for (const auto target : finished) {
    FinishVerification(target, now);
  }
  for (auto& [target, verification] : verifications_) {
    if (now >= verification.next_round) {
      RunVerificationRound(target, verification, now);
    }
  }
}

void FailureDetector::RunVerificationRound(InstanceId target,
                                           Verification& verification,
                                           TimePoint now) {
  const auto* record = state_.members.Find(target);
  if (verification.rounds++ == kRoundsBeforeSuspicion &&
      record->last_contact < verification.started) {
    if (record->member.state == MemberState::kAlive) {
      state_.view_changed =
          state_.members.SetState(target, MemberState::kSuspect, now) ||
          state_.view_changed;
    }
    if (record->member.data_centre !=
        state_.members.self().member.data_centre) {
      VerifyDataCentre(record->member.data_centre, now);
    }
  }
  verification.next_round =
      std::min(now + kRoundInterval, verification.deadline);
  SendProbe(target, now);
  if (verification.rounds == 1) {
    return;
  }
  auto probers = std::vector<InstanceId>();
  for (const auto peer : state_.members.peers()) {
    if (state_.members.Find(peer)->member.state == MemberState::kAlive) {
      probers.push_back(peer);
    }
  }
  for (const auto prober : state_.Sample(probers, kIndirectProbers, target)) {
    const auto sequence = next_sequence_++;
    pending_.emplace(sequence, PendingProbe{target, now, now + kProbeTimeout,
                                            InstanceId(), 0});
    state_.outbox.Send(
        state_.members.Find(prober)->member,
        ProbeRequest{sequence, target, record->member.incarnation},
        TrafficClass::kProbe, now);
  }
}

void FailureDetector::FinishVerification(InstanceId target, TimePoint now) {
  const auto verification = verifications_.at(target);
  verifications_.erase(target);
  const auto* record = state_.members.Find(target);
  if (record == nullptr || record->member.state == MemberState::kDead) {
    return;
  }
  if (record->last_contact >= verification.started) {
    if (record->member.state == MemberState::kSuspect) {
      // The member answers but has not refuted the suspicion yet.
      Verify(target, now, now + kDeathTimeout, now);
    }
    return;
  }
  const auto& self = state_.members.self().member;
  const auto is_local = record->member.data_centre == self.data_centre;
  if (IsIsolated(now)) {
    SuspectAllPeers(now);
    if (!is_local || now - state_.last_contact < kIsolationTimeout) {
      return;
    }
  }
  if (!is_local && state_.members.IsUnreachable(record->member.data_centre)) {
    return;
  }
  state_.view_changed =
      state_.members.SetState(target, MemberState::kDead, now) ||
      state_.view_changed;
}

// Returns whether no message from any peer has arrived for so long that this
// instance is more likely to be isolated than all others are to be dead.
auto FailureDetector::IsIsolated(TimePoint now) const -> bool {
  return now - state_.last_contact >= kDeathTimeout;
}

void FailureDetector::SuspectAllPeers(TimePoint now) {
  const auto peers = state_.members.peers();
  for (const auto peer : peers) {
    if (state_.members.Find(peer)->member.state == MemberState::kAlive) {
      state_.view_changed =
          state_.members.SetState(peer, MemberState::kSuspect, now) ||
          state_.view_changed;
    }
  }
}

void FailureDetector::OnInstanceList(TimePoint now) {
  if (state_.probe_acks == 0) {
    next_join_probe_ = std::min(next_join_probe_, now);
  }
}

void FailureDetector::OnProbe(InstanceId from, const Probe& probe,
                              TimePoint now) {
  const auto* sender = state_.members.Find(from);
  if (sender == nullptr) {
    return;
  }
  auto ack = state_.Compose<ProbeAck>(from, now);
  ack.sequence = probe.sequence;
  const auto& self = state_.members.self();
  const auto is_about = [](InstanceId id) {
    return [id](const MemberUpdate& update) { return update.member.id == id; };
  };
  const auto names_self = std::any_of(
      probe.updates.begin(), probe.updates.end(), is_about(self.member.id));
  const auto has_sender_record =
      std::any_of(probe.updates.begin(), probe.updates.end(), is_about(from));
  if (names_self || has_sender_record) {
    ack.updates.insert(ack.updates.begin(), state_.members.UpdateOf(self));
  }
  if (sender->member.state == MemberState::kSuspect ||
      sender->member.state == MemberState::kDead) {
    ack.updates.push_back(state_.members.UpdateOf(*sender));
  }
  if (sender->member.data_centre == self.member.data_centre &&
      probe.member_digest != state_.members.RingDigest()) {
    const auto page = state_.members.RepairPage(kRepairPageMembers);
    ack.updates.insert(ack.updates.end(), page.begin(), page.end());
  }
  state_.outbox.Send(sender->member, std::move(ack), TrafficClass::kProbe, now);
}

void FailureDetector::OnProbeAck(InstanceId from, const ProbeAck& ack,
                                 TimePoint now) {
  ++state_.probe_acks;
  peers_with_own_record_.insert(from);
  const auto found = pending_.find(ack.sequence);
  if (found == pending_.end()) {
    return;
  }
  const auto probe = found->second;
  pending_.erase(found);
  state_.members.RecordContact(probe.target, now);
  const auto* requester = state_.members.Find(probe.requester);
  const auto* target = state_.members.Find(probe.target);
  if (requester == nullptr || target == nullptr) {
    return;
  }
  auto relayed = state_.Compose<ProbeAck>(probe.requester, now);
  relayed.sequence = probe.requester_sequence;
  relayed.updates.push_back(state_.members.UpdateOf(*target));
  state_.outbox.Send(requester->member, std::move(relayed),
                     TrafficClass::kProbe, now);
}

// Sends a repair page to a peer whose ring digest differs in two consecutive
// messages. A single mismatch may only mean that an update is in transit.
void FailureDetector::OnGossip(InstanceId from, const Gossip& gossip,
                               TimePoint now) {
  if (gossip.member_digest == state_.members.RingDigest()) {
    mismatched_peers_.erase(from);
    return;
  }
  const auto* sender = state_.members.Find(from);
  if (mismatched_peers_.insert(from).second || sender == nullptr) {
    return;
  }
  mismatched_peers_.erase(from);
  auto repair = state_.Compose<Gossip>(from, now);
  const auto page = state_.members.RepairPage(kRepairPageMembers);
  repair.updates.insert(repair.updates.end(), page.begin(), page.end());
  state_.outbox.Send(sender->member, std::move(repair), TrafficClass::kGossip,
                     now);
}

void FailureDetector::OnProbeRequest(InstanceId from,
                                     const ProbeRequest& request,
                                     TimePoint now) {
  const auto* target = state_.members.Find(request.target);
  if (target == nullptr || state_.members.Find(from) == nullptr) {
    return;
  }
  auto probe = state_.Compose<Probe>(request.target, now);
  probe.sequence = next_sequence_++;
  probe.updates.push_back(state_.members.UpdateOf(state_.members.self()));
  auto suspicion = MemberUpdate{target->member, target->listed};
  suspicion.member.name.clear();
  suspicion.member.state = MemberState::kSuspect;
  suspicion.member.incarnation = request.incarnation;
  probe.updates.push_back(std::move(suspicion));
  pending_.emplace(probe.sequence,
                   PendingProbe{request.target, now, now + kProbeTimeout, from,
                                request.sequence});
  state_.outbox.Send(target->member, std::move(probe), TrafficClass::kProbe,
                     now);
}

// The connection was refused or timed out, so waiting for an answer is useless.
void FailureDetector::OnSendFailed(InstanceId to, TimePoint now) {
  for (auto& [sequence, probe] : pending_) {
    if (probe.target == to && probe.requester == InstanceId()) {
      probe.expires = now;
    }
  }
}

void FailureDetector::OnPause(TimePoint now) {
  pending_.clear();
  verifications_.clear();
  next_period_ = now;
  monitored_since_ = now;
  state_.last_contact = now;
  SendJoinProbes(kJoinProbePeers, now);
}

}  // namespace hemlockwick
