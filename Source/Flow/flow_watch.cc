#include "Flow/flow_watch.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

// Time in which an endpoint's reply to an opening comes back as a packet of
// the caller; well above the round trips and below the caller's first copy.
constexpr Duration kOpeningReplyTime = std::chrono::milliseconds(100);

// A request that has had no answer for this long has failed, or its endpoint is
// far too busy. Callers wait for 1.2 s and more.
constexpr Duration kAnswerTime = std::chrono::seconds(1);

// Callers send a packet again after a longer time. Packets that follow each
// other sooner have waited in the socket.
constexpr Duration kShortestResend = std::chrono::milliseconds(100);

// A flow that waits this long for a silent endpoint is reset.
constexpr Duration kResetWait = std::chrono::milliseconds(100);

// An endpoint that answered this recently is alive.
constexpr Duration kAliveTime = std::chrono::seconds(1);

// A longer pause between two ticks means that this process was suspended, and
// that replies may have passed unseen.
constexpr Duration kLongestTick = std::chrono::milliseconds(400);

// Packets that a caller sends ahead of acknowledgements.
constexpr std::uint16_t kSendWindowPackets = 16;

// Flows without a packet for this long are no longer tracked, and how often
// they are looked for.
constexpr Duration kIdleTime = std::chrono::seconds(20);
constexpr Duration kSweepInterval = std::chrono::seconds(1);

// After this process has started or stood still, routers move flows between
// instances for this long. A request whose flow has moved looks unanswered
// here.
constexpr Duration kSettleTime = std::chrono::seconds(3);

// Reply times kept between two collections.
constexpr std::size_t kMaxReplies = 512;

// Whether sequence position `left` lies before `right`, across the wrap.
auto IsBefore(std::uint32_t left, std::uint32_t right) -> bool {
  return static_cast<std::int32_t>(left - right) < 0;
}

}  // namespace

FlowWatch::FlowWatch(InstanceId instance, std::size_t capacity,
                     RouterNotes& notes)
    : instance_(instance), flows_(capacity), notes_(notes) {}

auto FlowWatch::OnOpening(const TokenPacket& packet, TimePoint now)
    -> FlowToken {
  auto& flow = Track(packet, now);
  const auto is_copy = packet.ack > 0;
  if (!is_copy) {
    return kNoToken;
  }
  // The caller would not send it again had the endpoint answered.
  flow.gave_sign = false;
  NoteSilence(flow, SilentPacket::kRepeatedOpening, now);
  return flow.token;
}

void FlowWatch::OnOpened(const TokenPacket& packet, FlowToken token,
                         TimePoint now) {
  auto& flow = Track(packet, now);
  flow.closed = false;
  flow.established = false;
  SetToken(flow, token, now);
  StopWaiting(flow);
  StartWaiting(flow, now);
  openings_.Add(flow.key, token, now);
}

auto FlowWatch::OnPacket(const TokenPacket& packet, FlowToken token,
                         bool may_reset, TimePoint now)
    -> std::optional<Duration> {
  auto& flow = Track(packet, now);
  if (flow.closed) {
    return std::nullopt;
  }
  if (flow.established && flow.token != token) {
    notes_.Add({.kind = RouterNote::Kind::kTokenChanged,
                .caller = packet.caller,
                .service = packet.service,
                .token = token});
  }
  SetToken(flow, token, now);
  NotePacket(flow, packet, now);
  const auto& signs = LoadOf(token, now).signs;
  if (may_reset && packet.data_bytes > 0 && flow.waiting &&
      signs.IsSilent(now)) {
    return now - signs.last_alive();
  }
  if (packet.finishes || packet.resets) {
    Release(flow);
    flow.closed = true;
  }
  return std::nullopt;
}

void FlowWatch::OnEnded(FlowKey key) {
  auto* const flow = flows_.Find(key);
  if (flow != nullptr) {
    Forget(*flow);
  }
}

auto FlowWatch::IsAlive(FlowToken token, TimePoint now) const -> bool {
  const auto load = loads_.find(token);
  return load != loads_.end() &&
         now - load->second.signs.last_alive() < kAliveTime;
}

auto FlowWatch::Track(const TokenPacket& packet, TimePoint now)
    -> TrackedFlow& {
  auto& flow = flows_.FindOrAdd(FlowKeyOf(packet.caller, packet.service),
                                [this](TrackedFlow& idle) { Forget(idle); });
  flow.caller = packet.caller;
  flow.service = packet.service;
  flow.last_seen = now;
  return flow;
}

void FlowWatch::NotePacket(TrackedFlow& flow, const TokenPacket& packet,
                           TimePoint now) {
  if (!flow.established) {
    Establish(flow, packet, now);
  } else if (IsBefore(flow.last_ack, packet.ack)) {
    flow.last_ack = packet.ack;
    NoteAlive(flow.token, now);
    if (flow.waiting) {
      const auto time = now - flow.waiting_since;
      LoadOf(flow.token, now).NoteReplyTime(time);
      if (replies_.size() < kMaxReplies) {
        replies_.push_back({ReplySample::Kind::kData, time});
      }
    }
    StopWaiting(flow);
  }
  if (packet.data_bytes > 0) {
    NoteData(flow, packet, now);
  }
}

// Takes the first packet after the handshake: the endpoint has answered, unless
// the flow was opened through another instance long ago.
void FlowWatch::Establish(TrackedFlow& flow, const TokenPacket& packet,
                          TimePoint now) {
  if (flow.waiting) {
    const auto time = now - flow.waiting_since;
    if (replies_.size() < kMaxReplies) {
      replies_.push_back({ReplySample::Kind::kOpening, time});
    }
    NoteAlive(flow.token, now);
    StopWaiting(flow);
  }
  flow.established = true;
  flow.last_ack = packet.ack;
  flow.next_seq = packet.seq;
}

void FlowWatch::NoteData(TrackedFlow& flow, const TokenPacket& packet,
                         TimePoint now) {
  const auto end = packet.seq + packet.data_bytes;
  if (!IsBefore(flow.next_seq, end)) {
    NoteSilence(flow, SilentPacket::kRepeatedData, now);
    return;
  }
  flow.next_seq = end;
  if (!flow.waiting) {
    StartWaiting(flow, now);
    if (settled_at_ && now >= *settled_at_) {
      requests_.Add(flow.key, flow.token, now);
    }
  }
  if (++flow.waiting_packets > kSendWindowPackets) {
    // The caller could not have sent more without acknowledgements.
    NoteAlive(flow.token, now);
  }
}

auto FlowWatch::LoadOf(FlowToken token, TimePoint now) -> EndpointLoad& {
  return loads_.try_emplace(token, now).first->second;
}

void FlowWatch::SetToken(TrackedFlow& flow, FlowToken token, TimePoint now) {
  if (flow.token == token) {
    return;
  }
  const auto was_waiting = flow.waiting;
  Release(flow);
  flow.token = token;
  auto& load = LoadOf(token, now);
  ++load.open_flows;
  if (was_waiting) {
    flow.waiting = true;
    ++load.waiting_flows;
  }
}

void FlowWatch::StartWaiting(TrackedFlow& flow, TimePoint now) {
  if (flow.waiting) {
    return;
  }
  flow.waiting = true;
  flow.waiting_since = now;
  flow.waiting_packets = 0;
  flow.gave_sign = false;
  ++LoadOf(flow.token, now).waiting_flows;
}

void FlowWatch::StopWaiting(TrackedFlow& flow) {
  if (!flow.waiting) {
    return;
  }
  flow.waiting = false;
  --loads_.at(flow.token).waiting_flows;
}

// Takes the flow out of its endpoint's load.
void FlowWatch::Release(TrackedFlow& flow) {
  StopWaiting(flow);
  if (flow.token != kNoToken) {
    --loads_.at(flow.token).open_flows;
    flow.token = kNoToken;
  }
}

void FlowWatch::Forget(TrackedFlow& flow) {
  Release(flow);
  TrackedFlows::Remove(flow);
}

void FlowWatch::ForgetIdle(const DirectorySnapshot* directory, TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  flows_.ForEach([this, now](TrackedFlow& flow) {
    if (now - flow.last_seen >= kIdleTime) {
      Forget(flow);
    }
  });
  std::erase_if(loads_, [directory](const auto& entry) {
    const auto& [token, load] = entry;
    return load.open_flows == 0 && directory != nullptr &&
           directory->Find(token) == nullptr &&
           directory->FindDeparted(token) == nullptr;
  });
}

void FlowWatch::NoteAlive(FlowToken token, TimePoint now) {
  auto& signs = LoadOf(token, now).signs;
  if (signs.IsSuspect(now) || signs.IsSilent(now)) {
    notes_.Add({.kind = RouterNote::Kind::kEndpointAlive,
                .token = token,
                .signs = signs.signs(),
                .age = now - signs.last_alive()});
  }
  if (signs.IsSharedSuspect(now)) {
    AddOnce(news_.alive, token);
  }
  signs.NoteAlive(now);
}

void FlowWatch::NoteSilence(TrackedFlow& flow, SilentPacket packet,
                            TimePoint now) {
  const auto was_queued = now - flow.waiting_since < kShortestResend;
  if (!flow.waiting || flow.gave_sign || was_queued) {
    return;
  }
  flow.gave_sign = true;
  auto& signs = LoadOf(flow.token, now).signs;
  const auto was_suspect = signs.IsSuspect(now);
  const auto was_silent = signs.IsSilent(now);
  if (!signs.NoteSilence(packet, flow.waiting_since, now)) {
    return;
  }
  ++signs_;
  // A flow that only fell quiet here may have moved to another instance.
  if (packet != SilentPacket::kOpening) {
    AddOnce(news_.silent, flow.token);
  }
  auto note = RouterNote{.kind = RouterNote::Kind::kEndpointSuspected,
                         .caller = flow.caller,
                         .service = flow.service,
                         .token = flow.token,
                         .signs = signs.signs(),
                         .age = now - signs.last_alive()};
  if (!was_suspect && signs.IsSuspect(now)) {
    notes_.Add(note);
  }
  if (!was_silent && signs.IsSilent(now)) {
    note.kind = RouterNote::Kind::kEndpointSilent;
    notes_.Add(note);
    newly_silent_.push_back(flow.token);
  }
}

auto FlowWatch::OnTick(const DirectorySnapshot* directory, TimePoint now)
    -> std::vector<ResetFlow> {
  CheckSuspension(now);
  ForgetIdle(directory, now);
  JudgeOpenings(now);
  JudgeRequests(now);
  auto resets = std::vector<ResetFlow>();
  for (const auto token : std::exchange(newly_silent_, {})) {
    if (directory == nullptr) {
      continue;
    }
    auto ended = ResetSilent(token, *directory, now);
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  return resets;
}

void FlowWatch::JudgeOpenings(TimePoint now) {
  openings_.JudgeOverdue(flows_, kOpeningReplyTime, now,
                         [&](TrackedFlow& flow) {
                           if (!flow.established) {
                             NoteSilence(flow, SilentPacket::kOpening, now);
                           }
                         });
}

// A request may be unanswered because its endpoint has reset the flow, which
// passes unseen.
void FlowWatch::JudgeRequests(TimePoint now) {
  requests_.JudgeOverdue(
      flows_, kAnswerTime, now, [&](const TrackedFlow& flow) {
        ++unanswered_;
        AddOnce(news_.failing, flow.token);
        notes_.Add({.kind = RouterNote::Kind::kRequestUnanswered,
                    .caller = flow.caller,
                    .service = flow.service,
                    .token = flow.token,
                    .age = now - flow.waiting_since});
      });
}

// A process that did not run for a while has missed replies: what it takes for
// silence may be its own.
void FlowWatch::CheckSuspension(TimePoint now) {
  const auto previous = std::exchange(last_tick_, now);
  const auto is_first = previous == TimePoint();
  if (!is_first && now - previous <= kLongestTick) {
    return;
  }
  settled_at_ = now + kSettleTime;
  if (is_first) {
    return;
  }
  notes_.Add({.kind = RouterNote::Kind::kSuspended, .age = now - previous});
  openings_.Clear();
  requests_.Clear();
  newly_silent_.clear();
  for (auto& [token, load] : loads_) {
    load.signs.Clear();
  }
  flows_.ForEach([](TrackedFlow& flow) { flow.gave_sign = true; });
}

auto FlowWatch::ResetDeparted(FlowToken token) -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  flows_.ForEach([&](TrackedFlow& flow) {
    if (flow.token != token) {
      return;
    }
    if (flow.established) {
      resets.push_back(ResetTracked(flow, ResetReason::kDeparted));
    } else {
      Forget(flow);
    }
  });
  return resets;
}

// Ends the flows that have waited for a silent endpoint for a while. It may be
// alive: so not those whose request must not run again, since their callers
// would not try again and the work would be given up.
auto FlowWatch::ResetSilent(FlowToken token, const DirectorySnapshot& directory,
                            TimePoint now) -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  flows_.ForEach([&](TrackedFlow& flow) {
    const auto is_stuck = flow.token == token && flow.established &&
                          flow.waiting &&
                          now - flow.waiting_since >= kResetWait;
    const auto* const route =
        is_stuck ? directory.FindRoute(flow.service) : nullptr;
    if (route != nullptr && route->may_repeat) {
      resets.push_back(ResetTracked(flow, ResetReason::kSilent));
    }
  });
  return resets;
}

auto FlowWatch::ResetTracked(TrackedFlow& flow, ResetReason reason)
    -> ResetFlow {
  const auto reset =
      ResetFlow{flow.caller, flow.service, flow.last_ack, reason};
  notes_.Add({.kind = RouterNote::Kind::kFlowReset,
              .caller = flow.caller,
              .service = flow.service,
              .token = flow.token,
              .detail = ToString(reason)});
  Forget(flow);
  return reset;
}

void FlowWatch::NoteShared(const std::vector<SharedSuspect>& suspects,
                           const DirectorySnapshot& directory, TimePoint now) {
  for (const auto& suspect : suspects) {
    if (directory.Find(suspect.token) == nullptr) {
      continue;
    }
    // An endpoint that this instance never used has not been heard from since.
    const auto before = suspect.at - std::chrono::milliseconds(1);
    auto& signs = LoadOf(suspect.token, before).signs;
    if (suspect.suspicion == Suspicion::kFailing) {
      NoteFailing(signs, suspect, now);
    } else {
      signs.NoteShared(suspect.at, TurnAt(suspect));
    }
  }
}

void FlowWatch::NoteFailing(EndpointSigns& signs, const SharedSuspect& suspect,
                            TimePoint now) {
  const auto was_failing = signs.IsFailing(now);
  signs.NoteFailing(suspect.at, TurnAt(suspect));
  if (!was_failing && signs.IsFailing(now)) {
    notes_.Add({.kind = RouterNote::Kind::kEndpointFailing,
                .token = suspect.token,
                .age = now - suspect.at});
  }
}

// When this instance tries a shared suspect again, from 0 to 1: another one is
// first each time, and tells the others what it found.
auto FlowWatch::TurnAt(const SharedSuspect& suspect) const -> double {
  constexpr auto kSteps = std::uint64_t{1024};
  const auto moment = static_cast<std::uint64_t>(suspect.at.time_since_epoch() /
                                                 std::chrono::seconds(1));
  const auto drawn =
      MixWords(MixWords(instance_.value(), suspect.token.value()), moment);
  return static_cast<double>(drawn % kSteps) / static_cast<double>(kSteps);
}

auto FlowWatch::TakeNews() -> EndpointNews { return std::exchange(news_, {}); }

auto FlowWatch::TakeReplies() -> std::vector<ReplySample> {
  return std::exchange(replies_, {});
}

}  // namespace hemlockwick
