#include "Flow/token_router.h"

#include <algorithm>
#include <utility>

#include "Flow/opening_choice.h"

namespace hemlockwick {

namespace {

// Time in which an endpoint's reply to an opening comes back as a packet of
// the caller; well above the round trips and below the caller's first copy.
constexpr Duration kOpeningReplyTime = std::chrono::milliseconds(100);

// Callers send a packet again after a longer time. Packets that follow each
// other sooner have waited in the socket.
constexpr Duration kShortestResend = std::chrono::milliseconds(100);

// A flow that waits this long for a silent endpoint is reset.
constexpr Duration kResetWait = std::chrono::milliseconds(100);

// An endpoint that answered this recently is alive, whatever the platform says.
constexpr Duration kAliveTime = std::chrono::seconds(1);

// A longer pause between two ticks means that this process was suspended, and
// that replies may have passed unseen.
constexpr Duration kLongestTick = std::chrono::milliseconds(400);

// Time for which the token of an endpoint that is not in the directory may be
// newer than the directory.
constexpr Duration kUnknownTime = std::chrono::milliseconds(2500);
constexpr std::size_t kMaxUnknownTokens = 256;

// Packets that a caller sends ahead of acknowledgements.
constexpr std::uint16_t kSendWindowPackets = 16;

// Flows without a packet for this long are no longer tracked, and how often
// they are looked for.
constexpr Duration kIdleTime = std::chrono::seconds(20);
constexpr Duration kSweepInterval = std::chrono::seconds(1);

// Notes kept between two collections.
constexpr std::size_t kMaxNotes = 512;
constexpr std::size_t kMaxReplies = 512;

// Whether sequence position `left` lies before `right`, across the wrap.
auto IsBefore(std::uint32_t left, std::uint32_t right) -> bool {
  return static_cast<std::int32_t>(left - right) < 0;
}

void AddOnce(std::vector<FlowToken>& tokens, FlowToken token) {
  if (std::ranges::find(tokens, token) == tokens.end()) {
    tokens.push_back(token);
  }
}

}  // namespace

TokenRouter::TokenRouter(const TokenRouterSettings& settings)
    : settings_(settings), flows_(settings.tracked_flows) {}

auto TokenRouter::Update(std::shared_ptr<const DirectorySnapshot> directory,
                         TimePoint now) -> std::vector<ResetFlow> {
  const auto previous = std::exchange(directory_, std::move(directory));
  auto resets = std::vector<ResetFlow>();
  for (const auto& departed : directory_->departed()) {
    const auto was_departed = previous != nullptr &&
                              previous->FindDeparted(departed.token) != nullptr;
    if (was_departed || !IsGone(departed, now)) {
      continue;
    }
    auto ended = ResetTracked(departed.token, ResetReason::kDeparted, now);
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  std::erase_if(unknown_since_, [this](const auto& unknown) {
    return directory_->Find(unknown.first) != nullptr;
  });
  return resets;
}

auto TokenRouter::Decide(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (directory_ == nullptr) {
    return Drop(packet, DropReason::kNotReady);
  }
  const auto* const route = directory_->FindRoute(packet.service);
  if (route == nullptr) {
    return Reset(packet, ResetReason::kNoRoute, Duration(0));
  }
  return packet.opens ? Open(packet, *route, now) : Continue(packet, now);
}

auto TokenRouter::Open(const TokenPacket& packet, const Route& route,
                       TimePoint now) -> TokenAction {
  auto& flow = Track(packet, now);
  const auto is_copy = packet.ack > 0;
  const auto tried = is_copy ? flow.token : kNoToken;
  if (is_copy) {
    // The caller would not send it again had the endpoint answered.
    flow.gave_sign = false;
    NoteSilence(flow, SilentPacket::kRepeatedOpening, now);
  }
  const auto* const endpoint =
      ChooseEndpoint(*directory_, loads_,
                     {flow.key, route, settings_.data_centre, tried}, now);
  if (endpoint == nullptr) {
    Forget(flow);
    return directory_->is_settled()
               ? Reset(packet, ResetReason::kNoEndpoint, Duration(0))
               : Drop(packet, DropReason::kNoEndpoint);
  }
  flow.closed = false;
  flow.established = false;
  SetToken(flow, endpoint->token, now);
  StopWaiting(flow);
  StartWaiting(flow, now);
  pending_.push_back({flow.key, endpoint->token, now});
  ++counters_.opened;
  counters_.reopened += is_copy ? 1 : 0;
  const auto& load = LoadOf(endpoint->token, now);
  AddNote({RouterNote::Kind::kFlowOpened, packet.caller, packet.service,
           endpoint->token, packet.ack, load.signs.signs(), load.waiting_flows,
           Duration(0), ""});
  return ForwardWithToken{endpoint->report.id, endpoint->report.address,
                          endpoint->token};
}

auto TokenRouter::Continue(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (const auto* const endpoint = directory_->Find(packet.token)) {
    return Forward(packet, endpoint->report, now);
  }
  if (const auto* const departed = directory_->FindDeparted(packet.token)) {
    return ToDeparted(packet, *departed, now);
  }
  return ToUnknown(packet, now);
}

auto TokenRouter::Forward(const TokenPacket& packet,
                          const EndpointReport& endpoint, TimePoint now)
    -> TokenAction {
  const auto forward =
      ForwardWithToken{endpoint.id, endpoint.address, packet.token};
  auto& flow = Track(packet, now);
  if (flow.closed) {
    return forward;
  }
  if (flow.established && flow.token != packet.token) {
    AddNote({RouterNote::Kind::kTokenChanged, packet.caller, packet.service,
             packet.token, 0, 0, 0, Duration(0), ""});
  }
  SetToken(flow, packet.token, now);
  NotePacket(flow, packet, now);
  const auto& signs = LoadOf(packet.token, now).signs;
  if (packet.data_bytes > 0 && flow.waiting && signs.IsSilent(now)) {
    return Reset(packet, ResetReason::kSilent, now - signs.last_alive());
  }
  if (packet.finishes || packet.resets) {
    Release(flow);
    flow.closed = true;
  }
  return forward;
}

// Whether a departed endpoint has ended. One that left without notice may be
// cut off from the platform only and still serve its flows.
auto TokenRouter::IsGone(const DepartedEndpoint& endpoint, TimePoint now) const
    -> bool {
  if (endpoint.report.draining) {
    return true;
  }
  const auto load = loads_.find(endpoint.token);
  return load == loads_.end() ||
         now - load->second.signs.last_alive() >= kAliveTime;
}

auto TokenRouter::ToDeparted(const TokenPacket& packet,
                             const DepartedEndpoint& endpoint, TimePoint now)
    -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  if (!IsGone(endpoint, now)) {
    return Forward(packet, endpoint.report, now);
  }
  return Reset(packet, ResetReason::kDeparted, now - endpoint.since);
}

// Decides a packet whose endpoint this instance has never heard of.
auto TokenRouter::ToUnknown(const TokenPacket& packet, TimePoint now)
    -> TokenAction {
  if (packet.resets) {
    return Drop(packet, DropReason::kUnknownEndpoint);
  }
  if (unknown_since_.size() >= kMaxUnknownTokens) {
    unknown_since_.clear();
  }
  const auto since = unknown_since_.try_emplace(packet.token, now).first;
  const auto age = now - since->second;
  if (age >= kUnknownTime) {
    return Reset(packet, ResetReason::kUnknown, age);
  }
  return Drop(packet, DropReason::kUnknownEndpoint);
}

auto TokenRouter::Reset(const TokenPacket& packet, ResetReason reason,
                        Duration age) -> TokenAction {
  if (packet.resets) {
    return DropPacket{DropReason::kUnknownService};
  }
  auto* const flow = flows_.Find(FlowKeyOf(packet.caller, packet.service));
  if (flow != nullptr) {
    Forget(*flow);
  }
  AddNote({RouterNote::Kind::kFlowReset, packet.caller, packet.service,
           packet.token, 0, 0, 0, age, ToString(reason)});
  const auto seq = packet.opens ? 0 : packet.ack;
  return ResetFlow{packet.caller, packet.service, seq, reason};
}

auto TokenRouter::Drop(const TokenPacket& packet, DropReason reason)
    -> TokenAction {
  AddNote({RouterNote::Kind::kPacketDropped, packet.caller, packet.service,
           packet.token, 0, 0, 0, Duration(0), ToString(reason)});
  return DropPacket{reason};
}

auto TokenRouter::Track(const TokenPacket& packet, TimePoint now)
    -> TrackedFlow& {
  auto& flow = flows_.FindOrAdd(FlowKeyOf(packet.caller, packet.service),
                                [this](TrackedFlow& idle) { Forget(idle); });
  flow.caller = packet.caller;
  flow.service = packet.service;
  flow.last_seen = now;
  return flow;
}

void TokenRouter::NotePacket(TrackedFlow& flow, const TokenPacket& packet,
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
void TokenRouter::Establish(TrackedFlow& flow, const TokenPacket& packet,
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
  ++counters_.established;
}

void TokenRouter::NoteData(TrackedFlow& flow, const TokenPacket& packet,
                           TimePoint now) {
  const auto end = packet.seq + packet.data_bytes;
  if (!IsBefore(flow.next_seq, end)) {
    NoteSilence(flow, SilentPacket::kRepeatedData, now);
    return;
  }
  flow.next_seq = end;
  StartWaiting(flow, now);
  if (++flow.waiting_packets > kSendWindowPackets) {
    // The caller could not have sent more without acknowledgements.
    NoteAlive(flow.token, now);
  }
}

auto TokenRouter::LoadOf(FlowToken token, TimePoint now) -> EndpointLoad& {
  return loads_.try_emplace(token, now).first->second;
}

void TokenRouter::SetToken(TrackedFlow& flow, FlowToken token, TimePoint now) {
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

void TokenRouter::StartWaiting(TrackedFlow& flow, TimePoint now) {
  if (flow.waiting) {
    return;
  }
  flow.waiting = true;
  flow.waiting_since = now;
  flow.waiting_packets = 0;
  flow.gave_sign = false;
  ++LoadOf(flow.token, now).waiting_flows;
}

void TokenRouter::StopWaiting(TrackedFlow& flow) {
  if (!flow.waiting) {
    return;
  }
  flow.waiting = false;
  --loads_.at(flow.token).waiting_flows;
}

// Takes the flow out of its endpoint's load.
void TokenRouter::Release(TrackedFlow& flow) {
  StopWaiting(flow);
  if (flow.token != kNoToken) {
    --loads_.at(flow.token).open_flows;
    flow.token = kNoToken;
  }
}

void TokenRouter::Forget(TrackedFlow& flow) {
  Release(flow);
  TrackedFlows::Remove(flow);
}

void TokenRouter::ForgetIdle(TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  flows_.ForEach([this, now](TrackedFlow& flow) {
    if (now - flow.last_seen >= kIdleTime) {
      Forget(flow);
    }
  });
  std::erase_if(loads_, [this](const auto& entry) {
    const auto& [token, load] = entry;
    return load.open_flows == 0 && directory_ != nullptr &&
           directory_->Find(token) == nullptr &&
           directory_->FindDeparted(token) == nullptr;
  });
}

void TokenRouter::NoteAlive(FlowToken token, TimePoint now) {
  auto& signs = LoadOf(token, now).signs;
  if (signs.IsSuspect(now) || signs.IsSilent(now)) {
    AddNote({RouterNote::Kind::kEndpointAlive,
             {},
             {},
             token,
             0,
             signs.signs(),
             0,
             now - signs.last_alive(),
             ""});
  }
  if (signs.IsSharedSuspect(now)) {
    AddOnce(news_.alive, token);
  }
  signs.NoteAlive(now);
}

void TokenRouter::NoteSilence(TrackedFlow& flow, SilentPacket packet,
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
  ++counters_.signs;
  // A flow that only fell quiet here may have moved to another instance.
  if (packet != SilentPacket::kOpening) {
    AddOnce(news_.silent, flow.token);
  }
  const auto age = now - signs.last_alive();
  if (!was_suspect && signs.IsSuspect(now)) {
    AddNote({RouterNote::Kind::kEndpointSuspected, flow.caller, flow.service,
             flow.token, 0, signs.signs(), 0, age, ""});
  }
  if (!was_silent && signs.IsSilent(now)) {
    AddNote({RouterNote::Kind::kEndpointSilent, flow.caller, flow.service,
             flow.token, 0, signs.signs(), 0, age, ""});
    newly_silent_.push_back(flow.token);
  }
}

auto TokenRouter::OnTick(TimePoint now) -> std::vector<ResetFlow> {
  CheckSuspension(now);
  ForgetIdle(now);
  while (!pending_.empty() &&
         now - pending_.front().sent_at >= kOpeningReplyTime) {
    const auto opening = pending_.front();
    pending_.pop_front();
    auto* const flow = flows_.Find(opening.flow);
    if (flow != nullptr && !flow->established && flow->waiting &&
        flow->token == opening.token &&
        flow->waiting_since == opening.sent_at) {
      NoteSilence(*flow, SilentPacket::kOpening, now);
    }
  }
  auto resets = std::vector<ResetFlow>();
  for (const auto token : std::exchange(newly_silent_, {})) {
    auto ended = ResetTracked(token, ResetReason::kSilent, now - kResetWait);
    resets.insert(resets.end(), ended.begin(), ended.end());
  }
  return resets;
}

// A process that did not run for a while has missed replies: what it takes for
// silence may be its own.
void TokenRouter::CheckSuspension(TimePoint now) {
  const auto previous = std::exchange(last_tick_, now);
  if (previous == TimePoint() || now - previous <= kLongestTick) {
    return;
  }
  AddNote({RouterNote::Kind::kSuspended,
           {},
           {},
           kNoToken,
           0,
           0,
           0,
           now - previous,
           ""});
  pending_.clear();
  newly_silent_.clear();
  for (auto& [token, load] : loads_) {
    load.signs.Clear();
  }
  flows_.ForEach([](TrackedFlow& flow) { flow.gave_sign = true; });
}

// Ends the flows of an endpoint that have waited since `silent_since` or
// earlier; of a departed endpoint all of them.
auto TokenRouter::ResetTracked(FlowToken token, ResetReason reason,
                               TimePoint silent_since)
    -> std::vector<ResetFlow> {
  auto resets = std::vector<ResetFlow>();
  flows_.ForEach([&](TrackedFlow& flow) {
    if (flow.token != token) {
      return;
    }
    const auto is_departed = reason == ResetReason::kDeparted;
    const auto is_stuck = flow.waiting && flow.waiting_since <= silent_since;
    if (!flow.established || !(is_departed || is_stuck)) {
      if (is_departed) {
        Forget(flow);
      }
      return;
    }
    resets.push_back({flow.caller, flow.service, flow.last_ack, reason});
    AddNote({RouterNote::Kind::kFlowReset, flow.caller, flow.service, token, 0,
             0, 0, Duration(0), ToString(reason)});
    Forget(flow);
  });
  return resets;
}

void TokenRouter::NoteShared(const std::vector<SharedSuspect>& suspects,
                             TimePoint now) {
  for (const auto& suspect : suspects) {
    if (directory_ != nullptr && directory_->Find(suspect.token) != nullptr) {
      LoadOf(suspect.token, now).signs.NoteShared(suspect.at);
    }
  }
}

auto TokenRouter::TakeNews() -> EndpointNews {
  return std::exchange(news_, {});
}

auto TokenRouter::TakeNotes() -> std::vector<RouterNote> {
  return std::exchange(notes_, {});
}

auto TokenRouter::TakeReplies() -> std::vector<ReplySample> {
  return std::exchange(replies_, {});
}

void TokenRouter::AddNote(const RouterNote& note) {
  if (notes_.size() >= kMaxNotes) {
    ++counters_.notes_lost;
    return;
  }
  notes_.push_back(note);
}

}  // namespace hemlockwick
