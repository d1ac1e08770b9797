#include "Request/at_most_once.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hemlockwick {

namespace {

// Longest time between two ticks, so that a suspension is noticed.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);

// The view without one member.
auto Without(InstanceId member, MemberView view) -> MemberView {
  std::erase_if(view.members,
                [member](const Member& other) { return other.id == member; });
  return view;
}

}  // namespace

AtMostOnce::AtMostOnce(InstanceId self, std::size_t max_keys,
                       TimePoint knows_since)
    : self_(self), ledger_(max_keys), watch_(self, knows_since) {}

void AtMostOnce::OnConfig(const std::shared_ptr<const FleetConfig>& config,
                          TimePoint now) {
  watch_.NoteTime(now);
  config_ = config;
}

void AtMostOnce::OnMembers(const MemberView& members, RequestActions& actions,
                           TimePoint now) {
  view_ = members;
  watch_.OnMembers(members, now);
  auto work = KeyActions();
  claims_.OnMembers(view_, now, work);
  Carry(std::move(work), actions, now);
}

auto AtMostOnce::Claim(const RequestArrival& arrival, RequestActions& actions,
                       TimePoint now) -> std::optional<KeyState> {
  watch_.NoteTime(now);
  const auto* const service =
      config_ == nullptr ? nullptr : FindService(*config_, arrival.service);
  if (service == nullptr || !arrival.key) {
    return KeyState::kUnknown;
  }
  const auto& contract = service->contract;
  auto request = KeyRequest();
  request.request = arrival.request;
  request.key = *arrival.key;
  request.deadline = arrival.deadline;
  request.memory = std::max(contract.max_deadline, arrival.deadline - now) +
                   contract.key_memory;
  request.data_centres = KeyDataCentres(*config_, *service, *arrival.key);
  auto work = KeyActions();
  claims_.Begin(request, view_, now, work);
  Carry(std::move(work), actions, now);
  const auto decided = std::find_if(decisions_.begin(), decisions_.end(),
                                    [&arrival](const KeyVerdict& one) {
                                      return one.request == arrival.request;
                                    });
  if (decided == decisions_.end()) {
    return std::nullopt;
  }
  const auto state = decided->state;
  decisions_.erase(decided);
  return state;
}

auto AtMostOnce::MaySend(RequestId request, TimePoint now) const -> bool {
  return claims_.MaySend(request, now);
}

void AtMostOnce::Settle(const KeyVerdict& ending, RequestActions& actions,
                        TimePoint now) {
  watch_.NoteTime(now);
  auto work = KeyActions();
  claims_.Settle(ending.request, ending.state, view_, now, work);
  Carry(std::move(work), actions, now);
}

auto AtMostOnce::OnMessage(InstanceId from, const RequestMessage& message,
                           RequestActions& actions, TimePoint now)
    -> std::vector<KeyVerdict> {
  watch_.NoteTime(now);
  auto work = KeyActions();
  Handle(from, message, now, work);
  Carry(std::move(work), actions, now);
  return TakeDecisions();
}

auto AtMostOnce::OnTick(RequestActions& actions, TimePoint now)
    -> std::vector<KeyVerdict> {
  watch_.NoteTime(now);
  ledger_.Expire(now);
  auto work = KeyActions();
  claims_.OnTick(now, work);
  Carry(std::move(work), actions, now);
  return TakeDecisions();
}

auto AtMostOnce::NextTick() const -> TimePoint {
  if (!decisions_.empty()) {
    return TimePoint();
  }
  return std::min(claims_.NextTick(), watch_.last_call() + kMaxTickInterval);
}

void AtMostOnce::Carry(KeyActions work, RequestActions& actions,
                       TimePoint now) {
  while (!work.messages.empty()) {
    auto next = KeyActions();
    for (const auto& message : work.messages) {
      if (message.to == self_) {
        Handle(self_, message.message, now, next);
      } else {
        Send(message.to, message.message, actions);
      }
    }
    work.decisions.insert(work.decisions.end(), next.decisions.begin(),
                          next.decisions.end());
    work.messages = std::move(next.messages);
  }
  for (const auto& decision : work.decisions) {
    stats_.undecided += decision.state == KeyState::kUnknown ? 1 : 0;
    decisions_.push_back(decision);
  }
}

void AtMostOnce::Handle(InstanceId from, const RequestMessage& message,
                        TimePoint now, KeyActions& work) {
  if (const auto* claim = std::get_if<KeyClaim>(&message)) {
    if (const auto state = AnswerClaim(from, *claim, now)) {
      work.Send(from, KeyVerdict{claim->key, claim->request, *state});
    }
  } else if (const auto* verdict = std::get_if<KeyVerdict>(&message)) {
    claims_.OnVerdict(from, *verdict, now, work);
  } else if (const auto* settled = std::get_if<KeySettled>(&message)) {
    ledger_.Settle(from, *settled, now);
  } else if (const auto* hand_over = std::get_if<KeyHandOver>(&message)) {
    OnHandOver(from, *hand_over, now);
  }
}

void AtMostOnce::Send(InstanceId to, const RequestMessage& message,
                      RequestActions& actions) const {
  if (const auto* const member = FindMember(view_, to)) {
    actions.emplace_back(SendRequestMessage{to, member->http_address, message});
  }
}

auto AtMostOnce::AnswerClaim(InstanceId from, const KeyClaim& claim,
                             TimePoint now) -> std::optional<KeyState> {
  // What is noted after the hand-over would be lost.
  if (is_leaving_) {
    return std::nullopt;
  }
  const auto can_vouch = watch_.CanVouch(claim.key, claim.memory, now);
  stats_.abstained += can_vouch ? 0 : 1;
  return ledger_.Claim(from, claim, can_vouch, now);
}

void AtMostOnce::OnHandOver(InstanceId from, const KeyHandOver& message,
                            TimePoint now) {
  auto& arriving = arriving_[from];
  arriving.had_room = ledger_.Import(message.entries, now) && arriving.had_room;
  arriving.parts.insert(message.part);
  if (arriving.parts.size() < message.parts) {
    return;
  }
  if (arriving.had_room) {
    watch_.OnHandOver(from, message.knows_since, now);
  }
  arriving_.erase(from);
}

void AtMostOnce::BeginLeave(RequestActions& actions, TimePoint now) {
  watch_.NoteTime(now);
  is_leaving_ = true;
  const auto others = Without(self_, view_);
  for (const auto& member : others.members) {
    if (member.data_centre != view_.data_centre || !IsServing(member.state)) {
      continue;
    }
    const auto entries = ledger_.Export([&](IdempotencyKey key) {
      return IsNextHome(key, member.id, others, now);
    });
    HandOver(member.id, entries, actions);
  }
}

auto AtMostOnce::IsNextHome(IdempotencyKey key, InstanceId candidate,
                            const MemberView& others, TimePoint now) const
    -> bool {
  // Longest memory: more members count as young, so more are handed the key.
  const auto homes =
      SelectKeyHomes(key, kDepartureMemory, {view_.data_centre}, others, now);
  const auto& instances = homes.groups.front().instances;
  return std::find(instances.begin(), instances.end(), candidate) !=
         instances.end();
}

void AtMostOnce::HandOver(InstanceId to,
                          const std::vector<KeyHandOver::Entry>& entries,
                          RequestActions& actions) const {
  const auto batches = std::max<std::size_t>(
      1, (entries.size() + kHandOverBatch - 1) / kHandOverBatch);
  for (std::size_t batch = 0; batch < batches; ++batch) {
    const auto begin = batch * kHandOverBatch;
    const auto end = std::min(begin + kHandOverBatch, entries.size());
    auto message = KeyHandOver();
    message.entries.assign(entries.begin() + static_cast<std::ptrdiff_t>(begin),
                           entries.begin() + static_cast<std::ptrdiff_t>(end));
    message.knows_since = watch_.KnowsSince();
    message.part = static_cast<std::uint32_t>(batch);
    message.parts = static_cast<std::uint32_t>(batches);
    Send(to, message, actions);
  }
}

auto AtMostOnce::TakeDecisions() -> std::vector<KeyVerdict> {
  return std::exchange(decisions_, {});
}

auto AtMostOnce::stats() const -> AtMostOnceStats {
  auto stats = stats_;
  stats.keys = ledger_.size();
  stats.refused_for_room = ledger_.refused();
  return stats;
}

auto AtMostOnce::Describe() const -> std::string {
  return "keys " + ledger_.Describe() + " home " + watch_.Describe() +
         " claims " + claims_.Describe() + (is_leaving_ ? " leaving" : "");
}

}  // namespace hemlockwick
