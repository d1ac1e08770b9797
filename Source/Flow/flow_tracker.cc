#include "Flow/flow_tracker.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"
#include "Flow/flow_owner.h"
#include "Flow/sequence_numbers.h"

namespace hemlockwick {

namespace {

// Time within which the reply to an opening leads to a further packet of the
// caller; well above the round-trip times and below the caller's first
// retransmission.
constexpr Duration kOpeningTimeout = std::chrono::milliseconds(100);

// A request without an answer for this long has failed, or its endpoint is
// overloaded. Callers wait for 1.2 s and more.
constexpr Duration kRequestTimeout = std::chrono::seconds(1);

// Callers wait 200 ms before they retransmit. When less observed time than this
// has passed since the packet was forwarded, it has waited in this instance.
constexpr Duration kMinRetransmitInterval = std::chrono::milliseconds(150);

// A flow that has waited this long for a silent endpoint is reset.
constexpr Duration kMinWaitBeforeReset = std::chrono::milliseconds(100);

// When packets were late for all endpoints, the answers arrive together, in any
// order; this long after the first of them all have arrived.
constexpr Duration kAnswerSpread = std::chrono::milliseconds(150);

// An endpoint that answered this recently is alive.
constexpr Duration kAliveWindow = std::chrono::seconds(1);

// A longer time between two ticks means that this process was suspended and may
// have missed replies.
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(400);

// A longer time between two ticks is logged: packets have waited here.
constexpr Duration kNotableTickInterval = std::chrono::milliseconds(100);

// Number of packets that a caller may send ahead of acknowledgements.
constexpr std::uint16_t kSendWindowPackets = 16;

// Flows without a packet for kIdleTimeout are no longer tracked; they are
// looked for once in kSweepInterval.
constexpr Duration kIdleTimeout = std::chrono::seconds(20);
constexpr Duration kSweepInterval = std::chrono::seconds(1);

// For this long after this process has started or was suspended, network
// routers move flows between instances. A request whose flow has moved looks
// unanswered here.
constexpr Duration kSettleTime = std::chrono::seconds(3);

// Maximum number of reply times kept between two collections.
constexpr std::size_t kMaxReplySamples = 512;

// An endpoint sends a lost reply to an opening again after 200 ms. When none
// has reached the caller within this time, more than one was lost, or there was
// none.
constexpr Duration kOpeningReplyTime = std::chrono::milliseconds(500);

}  // namespace

FlowTracker::FlowTracker(InstanceId instance, std::size_t capacity,
                         RouterEventBuffer& events, bool collects_replies)
    : instance_(instance),
      flows_(capacity),
      events_(events),
      collects_replies_(collects_replies),
      collected_replies_(instance) {}

auto FlowTracker::OnOpening(const TokenPacket& packet, TimePoint now)
    -> std::optional<EarlierCopy> {
  auto& flow = Track(packet, now);
  const auto is_copy = packet.ack > 0;
  if (!is_copy || flow.token == kNoToken) {
    return std::nullopt;
  }
  if (HadTimeForReply(flow)) {
    // The caller would not have retransmitted it if the endpoint had answered.
    flow.counted_unanswered = false;
    RecordUnanswered(flow, UnansweredPacket::kRetransmittedOpening, now);
  }
  return EarlierCopy{flow.token, MayBeAccepted(flow)};
}

// Whether the endpoint may have accepted the opening, so that its reply was
// lost or is late. One that is dead, or has no room for further flows, accepts
// no opening that was sent to it later either.
auto FlowTracker::MayBeAccepted(const TrackedFlow& flow) const -> bool {
  if (flow.established ||
      clock_.elapsed() - flow.opening_sent_at < kOpeningReplyTime) {
    return true;
  }
  const auto stats = endpoint_stats_.find(flow.token);
  return stats != endpoint_stats_.end() &&
         stats->second.accepted_opening_sent_at >= flow.opening_sent_at;
}

void FlowTracker::OnOpeningForwarded(const TokenPacket& packet, FlowToken token,
                                     TimePoint now) {
  auto& flow = Track(packet, now);
  if (IsLateCopy(flow, packet)) {
    return;
  }
  const auto previous = flow.token;
  Forget(flow);
  SetToken(flow, token, now);
  StartWaiting(flow, now);
  flow.next_seq = packet.seq + 1;
  flow.last_sent_at = clock_.ElapsedAt(now);
  if (packet.ack == 0 || previous != token) {
    flow.opening_sent_at = flow.last_sent_at;
  }
  if (packet.ack > 0 && previous != kNoToken && previous != token) {
    events_.Add({.kind = RouterEvent::Kind::kOpeningMoved,
                 .caller = packet.caller,
                 .service = packet.service,
                 .token = token,
                 .copy = packet.ack});
  }
  if (packet.ack == 0) {
    flow.opening_tokens = {};
  }
  const auto copy = std::min<std::size_t>(packet.ack, kMaxOpeningCopies - 1);
  flow.opening_tokens[copy] = token;
  openings_.Add(flow.id, token, now);
}

auto FlowTracker::CorrectedToken(const TokenPacket& packet)
    -> std::optional<FlowToken> {
  const auto* const flow = flows_.Find(FlowIdOf(packet));
  if (flow == nullptr || !NamesOtherThanOwner(*flow, packet)) {
    return std::nullopt;
  }
  events_.Add({.kind = RouterEvent::Kind::kTokenCorrected,
               .caller = packet.caller,
               .service = packet.service,
               .token = flow->owner});
  return flow->owner;
}

auto FlowTracker::OnPacket(const TokenPacket& packet, FlowToken token,
                           bool may_reset, TimePoint now)
    -> std::optional<Duration> {
  auto& flow = Track(packet, now);
  if (flow.closed) {
    return std::nullopt;
  }
  const auto has_changed = flow.established && flow.token != token;
  if (has_changed) {
    events_.Add({.kind = RouterEvent::Kind::kTokenChanged,
                 .caller = packet.caller,
                 .service = packet.service,
                 .token = token});
  }
  if (has_changed && !Continues(flow, packet)) {
    // A new flow from the same port, which was opened elsewhere.
    flow.opening_tokens = {};
    Forget(flow);
  }
  SetToken(flow, token, now);
  ProcessPacket(flow, packet, now);
  // What the caller has received came from the endpoint of before.
  flow.answered = flow.answered && !has_changed;
  if (flow.answered) {
    flow.owner = token;
  }
  const auto& stats = StatsOf(token, now);
  if (may_reset && packet.data_bytes > 0 && flow.waiting &&
      IsSilent(stats, now)) {
    return now - stats.health.last_alive();
  }
  if (packet.finishes || packet.resets) {
    Release(flow);
    flow.closed = true;
  }
  return std::nullopt;
}

void FlowTracker::OnEnded(const FlowId& id) {
  auto* const flow = flows_.Find(id);
  if (flow != nullptr) {
    Untrack(*flow);
  }
}

auto FlowTracker::IsTracked(const FlowId& id) -> bool {
  return flows_.Find(id) != nullptr;
}

auto FlowTracker::IsSuspect(FlowToken token, TimePoint now) const -> bool {
  const auto stats = endpoint_stats_.find(token);
  return stats != endpoint_stats_.end() && stats->second.health.IsSuspect(now);
}

auto FlowTracker::IsAlive(FlowToken token, TimePoint now) const -> bool {
  return HasAnsweredAfter(token, now - kAliveWindow);
}

auto FlowTracker::HasAnsweredAfter(FlowToken token, TimePoint time) const
    -> bool {
  const auto stats = endpoint_stats_.find(token);
  return stats != endpoint_stats_.end() &&
         stats->second.health.last_alive() > time;
}

// Whether the endpoint alone is silent: it leaves data unanswered, while a
// request forwarded later was answered by another endpoint, and answers have
// kept coming for as long as the silence must be.
auto FlowTracker::IsSilent(const EndpointStats& stats, TimePoint now) const
    -> bool {
  const auto& health = stats.health;
  if (!health.IsSilent(now)) {
    return false;
  }
  if (const auto caller = health.silent_caller()) {
    return IsServedElsewhere(*caller, health, now);
  }
  const auto answered_time =
      answered_.AnsweredTimeAt(now) - stats.unanswered_since;
  return answered_time >= health.SilenceTime() &&
         answered_.HasLaterThan(health.silent_data_sent_at(),
                                now - kAnswerSpread);
}

// The same for an endpoint that leaves data of one caller only unanswered:
// nothing may reach that caller, so only its own answers count.
auto FlowTracker::IsServedElsewhere(Ipv4Address caller,
                                    const EndpointHealth& health,
                                    TimePoint now) const -> bool {
  const auto found = answered_by_caller_.find(caller);
  if (found == answered_by_caller_.end()) {
    return false;
  }
  const auto since = health.silent_data_sent_at();
  return found->second.AnsweredTimeSince(since, now) >= health.SilenceTime() &&
         found->second.HasLaterThan(since, now - kAnswerSpread);
}

auto FlowTracker::Track(const TokenPacket& packet, TimePoint now)
    -> TrackedFlow& {
  auto& flow = flows_.FindOrAdd(FlowIdOf(packet),
                                [this](TrackedFlow& idle) { Untrack(idle); });
  flow.last_seen = now;
  return flow;
}

void FlowTracker::ProcessPacket(TrackedFlow& flow, const TokenPacket& packet,
                                TimePoint now) {
  if (!flow.established) {
    Establish(flow, packet, now);
  } else if (IsBefore(flow.last_ack, packet.ack)) {
    flow.last_ack = packet.ack;
    flow.answered = true;
    RecordReply(flow.token, now);
    if (flow.waiting) {
      RecordAnswer(flow, now);
    }
    StopWaiting(flow);
  }
  if (packet.data_bytes > 0) {
    ProcessData(flow, packet, now);
  }
}

// Handles the first packet after the handshake. The endpoint has answered,
// unless the flow was opened through another instance long ago.
void FlowTracker::Establish(TrackedFlow& flow, const TokenPacket& packet,
                            TimePoint now) {
  if (flow.waiting) {
    const auto time = now - flow.waiting_since;
    if (reply_samples_.size() < kMaxReplySamples) {
      reply_samples_.push_back({ReplySample::Kind::kOpening, time});
    }
    flow.owner = FollowsOpening(flow, packet) ? flow.token : kNoToken;
    if (!WasOpenedElsewhere(flow)) {
      auto& accepted = StatsOf(flow.token, now).accepted_opening_sent_at;
      accepted = std::max(accepted, std::optional(flow.opening_sent_at));
    }
    RecordReply(flow.token, now);
    StopWaiting(flow);
  }
  flow.established = true;
  flow.last_ack = packet.ack;
  flow.next_seq = packet.seq;
}

void FlowTracker::ProcessData(TrackedFlow& flow, const TokenPacket& packet,
                              TimePoint now) {
  const auto end = packet.seq + packet.data_bytes;
  if (!IsBefore(flow.next_seq, end)) {
    if (HadTimeForReply(flow)) {
      RecordUnanswered(flow, UnansweredPacket::kRetransmittedData, now);
      AddOnce(maybe_silent_, flow.token);
    }
    return;
  }
  flow.next_seq = end;
  flow.last_sent_at = clock_.ElapsedAt(now);
  if (!flow.waiting) {
    StartWaiting(flow, now);
    if (settled_at_ && now >= *settled_at_) {
      requests_.Add(flow.id, flow.token, now);
    }
  }
  if (++flow.waiting_packets > kSendWindowPackets) {
    // The caller could not have sent more without acknowledgements.
    RecordReply(flow.token, now);
  }
}

auto FlowTracker::StatsOf(FlowToken token, TimePoint now) -> EndpointStats& {
  return endpoint_stats_.try_emplace(token, now).first->second;
}

void FlowTracker::SetToken(TrackedFlow& flow, FlowToken token, TimePoint now) {
  if (flow.token == token) {
    return;
  }
  const auto was_waiting = flow.waiting;
  Release(flow);
  flow.token = token;
  auto& stats = StatsOf(token, now);
  ++stats.open_flows;
  if (was_waiting) {
    flow.waiting = true;
    ++stats.waiting_flows;
  }
}

void FlowTracker::StartWaiting(TrackedFlow& flow, TimePoint now) {
  if (flow.waiting) {
    return;
  }
  flow.waiting = true;
  flow.waiting_since = now;
  flow.answered_time = answered_.AnsweredTimeAt(now);
  flow.waiting_packets = 0;
  flow.counted_unanswered = false;
  ++StatsOf(flow.token, now).waiting_flows;
}

void FlowTracker::StopWaiting(TrackedFlow& flow) {
  if (!flow.waiting) {
    return;
  }
  flow.waiting = false;
  --endpoint_stats_.at(flow.token).waiting_flows;
}

// Removes the flow from the stats of its endpoint.
void FlowTracker::Release(TrackedFlow& flow) {
  StopWaiting(flow);
  if (flow.token != kNoToken) {
    --endpoint_stats_.at(flow.token).open_flows;
    flow.token = kNoToken;
  }
}

// Forgets what was seen of the flow after its opening.
void FlowTracker::Forget(TrackedFlow& flow) {
  StopWaiting(flow);
  flow.closed = false;
  flow.established = false;
  flow.answered = false;
  flow.owner = kNoToken;
}

void FlowTracker::Untrack(TrackedFlow& flow) {
  Release(flow);
  TrackedFlows::Remove(flow);
}

void FlowTracker::UntrackIdle(const DirectorySnapshot* directory,
                              TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  flows_.ForEach([this, now](TrackedFlow& flow) {
    if (now - flow.last_seen >= kIdleTimeout) {
      Untrack(flow);
    }
  });
  std::erase_if(answered_by_caller_, [now](const auto& entry) {
    const auto last = entry.second.last_answer();
    return last && now - *last > AnsweredRequests::kRetention;
  });
  std::erase_if(endpoint_stats_, [directory](const auto& entry) {
    const auto& [token, stats] = entry;
    return stats.open_flows == 0 && directory != nullptr &&
           directory->Find(token) == nullptr &&
           directory->FindDeparted(token) == nullptr;
  });
}

// Records the first reply to the request that the flow waits for.
void FlowTracker::RecordAnswer(const TrackedFlow& flow, TimePoint now) {
  const auto time = now - flow.waiting_since;
  answered_.Add(flow.waiting_since, now);
  answered_by_caller_[flow.id.caller.ip].Add(flow.waiting_since, now);
  auto& stats = StatsOf(flow.token, now);
  const auto reply = usual_reply_times_.Add(flow.id.service, time);
  stats.AddReply(reply);
  if (collects_replies_) {
    collected_replies_.Add(flow.token, reply.ratio, stats);
  }
  if (reply_samples_.size() < kMaxReplySamples) {
    reply_samples_.push_back({ReplySample::Kind::kData, time});
  }
  if (reports_answers_) {
    events_.Add({.kind = RouterEvent::Kind::kRequestAnswered,
                 .caller = flow.id.caller,
                 .service = flow.id.service,
                 .token = flow.token,
                 .waiting = stats.waiting_flows,
                 .age = time});
  }
}

void FlowTracker::RecordReply(FlowToken token, TimePoint now) {
  auto& stats = StatsOf(token, now);
  auto& health = stats.health;
  if (health.IsSuspect(now) || IsSilent(stats, now)) {
    events_.Add({.kind = RouterEvent::Kind::kEndpointAlive,
                 .token = token,
                 .unanswered_packets = health.unanswered_packets(),
                 .age = now - health.last_alive()});
  }
  if (health.IsSharedSuspect(now)) {
    AddOnce(observations_.alive, token);
  }
  health.RecordReply(now);
}

// Whether the caller of a retransmission that has just arrived had the time to
// get a reply to its packet; otherwise the packets have waited here. The
// retransmission has arrived after the last tick, when the socket was empty.
auto FlowTracker::HadTimeForReply(const TrackedFlow& flow) const -> bool {
  return clock_.elapsed() - flow.last_sent_at >= kMinRetransmitInterval;
}

void FlowTracker::RecordUnanswered(TrackedFlow& flow, UnansweredPacket packet,
                                   TimePoint now) {
  if (!flow.waiting || flow.counted_unanswered) {
    return;
  }
  flow.counted_unanswered = true;
  if (packet == UnansweredPacket::kRetransmittedData &&
      IsOwnerUncertain(flow)) {
    return;
  }
  auto& stats = StatsOf(flow.token, now);
  auto& health = stats.health;
  const auto was_suspect = health.IsSuspect(now);
  if (!health.RecordUnanswered(packet, flow.waiting_since, now)) {
    return;
  }
  if (packet == UnansweredPacket::kRetransmittedData) {
    health.RecordCaller(flow.id.caller.ip, flow.waiting_since);
  }
  if (packet == UnansweredPacket::kRetransmittedData &&
      health.silent_data_sent_at() == flow.waiting_since) {
    stats.unanswered_since = flow.answered_time;
  }
  ++unanswered_packets_;
  // A flow of which no further packet was seen may have moved to another
  // instance.
  if (packet != UnansweredPacket::kOpening) {
    AddOnce(observations_.silent, flow.token);
  }
  if (!was_suspect && health.IsSuspect(now)) {
    events_.Add({.kind = RouterEvent::Kind::kEndpointSuspected,
                 .caller = flow.id.caller,
                 .service = flow.id.service,
                 .token = flow.token,
                 .unanswered_packets = health.unanswered_packets(),
                 .age = now - health.last_alive()});
  }
}

auto FlowTracker::OnTick(const DirectorySnapshot* directory, TimePoint now)
    -> std::vector<ResetFlow> {
  DetectSuspension(now);
  clock_.Tick(now);
  UntrackIdle(directory, now);
  CheckOpenings(now);
  CheckRequests(now);
  return directory == nullptr ? std::vector<ResetFlow>()
                              : CheckSilent(*directory, now);
}

// Looks for silent endpoints among those whose callers have sent data again
// since the last tick: while they don't, the endpoint may have acknowledged it.
// Returns the resets of their flows.
auto FlowTracker::CheckSilent(const DirectorySnapshot& directory, TimePoint now)
    -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  const auto last_answer = answered_.last_answer();
  for (const auto token : std::exchange(maybe_silent_, {})) {
    const auto& stats = StatsOf(token, now);
    const auto& health = stats.health;
    if (!IsSilent(stats, now)) {
      continue;
    }
    events_.Add({.kind = RouterEvent::Kind::kEndpointSilent,
                 .token = token,
                 .unanswered_packets = health.unanswered_packets(),
                 .age = now - health.last_alive(),
                 .since_any_answer = last_answer
                                         ? std::optional(now - *last_answer)
                                         : std::nullopt});
    auto ended = ResetSilent(token, directory, now);
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  return resets;
}

void FlowTracker::CheckOpenings(TimePoint now) {
  openings_.ForEachOverdue(
      flows_, kOpeningTimeout, now, [&](TrackedFlow& flow) {
        if (!flow.established) {
          RecordUnanswered(flow, UnansweredPacket::kOpening, now);
        }
      });
}

// A request may also be unanswered because its endpoint has reset the flow;
// instances do not see such resets.
void FlowTracker::CheckRequests(TimePoint now) {
  requests_.ForEachOverdue(
      flows_, kRequestTimeout, now, [&](const TrackedFlow& flow) {
        ++unanswered_requests_;
        if (!IsOwnerUncertain(flow)) {
          AddOnce(observations_.failing, flow.token);
        }
        events_.Add({.kind = RouterEvent::Kind::kRequestUnanswered,
                     .caller = flow.id.caller,
                     .service = flow.id.service,
                     .token = flow.token,
                     .age = now - flow.waiting_since});
      });
}

// After this process was suspended, discards the pending checks and the health
// counts: it may have missed the replies itself.
void FlowTracker::DetectSuspension(TimePoint now) {
  const auto previous = clock_.last_tick();
  if (previous && now - *previous <= kMaxTickInterval) {
    if (now - *previous > kNotableTickInterval) {
      events_.Add(
          {.kind = RouterEvent::Kind::kDelayed, .age = now - *previous});
    }
    return;
  }
  settled_at_ = now + kSettleTime;
  if (!previous) {
    return;
  }
  events_.Add({.kind = RouterEvent::Kind::kSuspended, .age = now - *previous});
  openings_.Clear();
  requests_.Clear();
  maybe_silent_.clear();
  for (auto& [token, stats] : endpoint_stats_) {
    stats.health.Clear();
  }
  flows_.ForEach([](TrackedFlow& flow) { flow.counted_unanswered = true; });
}

auto FlowTracker::ResetDeparted(FlowToken token) -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  flows_.ForEach([&](TrackedFlow& flow) {
    if (flow.token != token) {
      return;
    }
    if (flow.established) {
      resets.push_back(ResetTracked(flow, ResetReason::kDeparted, Duration(0)));
    } else {
      Untrack(flow);
    }
  });
  return resets;
}

// Resets the flows that have waited for a silent endpoint for a while. The
// endpoint may be alive, so flows of non-idempotent routes are kept: their
// callers would not retry, and the work would be lost.
auto FlowTracker::ResetSilent(FlowToken token,
                              const DirectorySnapshot& directory, TimePoint now)
    -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  flows_.ForEach([&](TrackedFlow& flow) {
    const auto is_stuck = flow.token == token && flow.established &&
                          flow.waiting &&
                          now - flow.waiting_since >= kMinWaitBeforeReset;
    const auto* const route =
        is_stuck ? directory.FindRoute(flow.id.service) : nullptr;
    if (route != nullptr && route->idempotent) {
      resets.push_back(
          ResetTracked(flow, ResetReason::kSilent, now - flow.waiting_since));
    }
  });
  return resets;
}

// `age` is that of the input that led to the reset.
auto FlowTracker::ResetTracked(TrackedFlow& flow, ResetReason reason,
                               Duration age) -> ResetFlow {
  const auto reset =
      ResetFlow{flow.id.caller, flow.id.service, flow.last_ack, reason};
  events_.Add({.kind = RouterEvent::Kind::kFlowReset,
               .caller = flow.id.caller,
               .service = flow.id.service,
               .token = flow.token,
               .age = age,
               .detail = ToString(reason)});
  Untrack(flow);
  return reset;
}

void FlowTracker::ApplySharedSuspects(
    const std::vector<SharedSuspect>& suspects,
    const DirectorySnapshot& directory, TimePoint now) {
  for (const auto& suspect : suspects) {
    if (directory.Find(suspect.token) == nullptr) {
      continue;
    }
    // If this instance has never used the endpoint, its last reply counts as
    // older than the suspicion.
    const auto before = suspect.at - std::chrono::milliseconds(1);
    auto& health = StatsOf(suspect.token, before).health;
    if (suspect.suspicion == Suspicion::kFailing) {
      RecordSharedFailure(health, suspect, now);
    } else {
      health.RecordSharedSuspicion(suspect.at, RetryJitter(suspect));
    }
  }
}

void FlowTracker::RecordSharedFailure(EndpointHealth& health,
                                      const SharedSuspect& suspect,
                                      TimePoint now) {
  const auto was_failing = health.IsFailing(now);
  health.RecordSharedFailure(suspect.at, RetryJitter(suspect));
  if (!was_failing && health.IsFailing(now)) {
    events_.Add({.kind = RouterEvent::Kind::kEndpointFailing,
                 .token = suspect.token,
                 .age = now - suspect.at});
  }
}

// Offset, from 0 to 1, at which this instance retries a shared suspect. It
// differs by instance and time, so that each time another instance is first and
// tells the others the result.
auto FlowTracker::RetryJitter(const SharedSuspect& suspect) const -> double {
  constexpr auto kSteps = std::uint64_t{1024};
  const auto moment = static_cast<std::uint64_t>(suspect.at.time_since_epoch() /
                                                 std::chrono::seconds(1));
  const auto drawn =
      MixWords(MixWords(instance_.value(), suspect.token.value()), moment);
  return static_cast<double>(drawn % kSteps) / static_cast<double>(kSteps);
}

auto FlowTracker::TakeObservations() -> EndpointObservations {
  return std::exchange(observations_, {});
}

auto FlowTracker::TakeReplySamples() -> std::vector<ReplySample> {
  return std::exchange(reply_samples_, {});
}

}  // namespace hemlockwick
