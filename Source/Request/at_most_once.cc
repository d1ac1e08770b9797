#include "Request/at_most_once.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace hemlockwick {

namespace {

// Longest time between two ticks, so that a suspension of the process is
// detected.
constexpr Duration kMaxTickInterval = std::chrono::seconds(1);

// The view without one member.
auto WithoutMember(InstanceId member, MemberView view) -> MemberView {
  std::erase_if(view.members,
                [member](const Member& other) { return other.id == member; });
  return view;
}

}  // namespace

AtMostOnce::AtMostOnce(InstanceId self, std::size_t max_keys,
                       TimePoint knows_since)
    : self_(self), table_(max_keys), completeness_(self, knows_since) {}

void AtMostOnce::OnConfig(const std::shared_ptr<const FleetConfig>& config,
                          TimePoint now) {
  completeness_.DetectSuspension(now);
  config_ = config;
}

void AtMostOnce::OnMembers(const MemberView& members, RequestActions& actions,
                           TimePoint now) {
  view_ = members;
  completeness_.OnMembers(members, now);
  auto key_actions = KeyActions();
  claims_.OnMembers(view_, now, key_actions);
  ProcessActions(std::move(key_actions), actions, now);
}

auto AtMostOnce::Claim(const RequestArrival& arrival, RequestActions& actions,
                       TimePoint now) -> std::optional<KeyState> {
  completeness_.DetectSuspension(now);
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
  auto key_actions = KeyActions();
  claims_.Begin(request, view_, now, key_actions);
  ProcessActions(std::move(key_actions), actions, now);
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

void AtMostOnce::Settle(const KeyVerdict& outcome, RequestActions& actions,
                        TimePoint now) {
  completeness_.DetectSuspension(now);
  auto key_actions = KeyActions();
  claims_.Settle(outcome.request, outcome.state, view_, now, key_actions);
  ProcessActions(std::move(key_actions), actions, now);
}

auto AtMostOnce::OnMessage(InstanceId from, const RequestMessage& message,
                           RequestActions& actions, TimePoint now)
    -> std::vector<KeyVerdict> {
  completeness_.DetectSuspension(now);
  auto key_actions = KeyActions();
  Handle(from, message, now, key_actions);
  ProcessActions(std::move(key_actions), actions, now);
  return TakeDecisions();
}

auto AtMostOnce::OnTick(RequestActions& actions, TimePoint now)
    -> std::vector<KeyVerdict> {
  completeness_.DetectSuspension(now);
  table_.Expire(now);
  auto key_actions = KeyActions();
  claims_.OnTick(now, key_actions);
  ProcessActions(std::move(key_actions), actions, now);
  return TakeDecisions();
}

auto AtMostOnce::NextTick() const -> TimePoint {
  if (!decisions_.empty()) {
    return TimePoint();
  }
  return std::min(claims_.NextTick(),
                  completeness_.last_call() + kMaxTickInterval);
}

void AtMostOnce::ProcessActions(KeyActions key_actions, RequestActions& actions,
                                TimePoint now) {
  while (!key_actions.messages.empty()) {
    auto next = KeyActions();
    for (const auto& message : key_actions.messages) {
      if (message.to == self_) {
        Handle(self_, message.message, now, next);
      } else {
        Send(message.to, message.message, actions);
      }
    }
    key_actions.decisions.insert(key_actions.decisions.end(),
                                 next.decisions.begin(), next.decisions.end());
    key_actions.messages = std::move(next.messages);
  }
  for (const auto& decision : key_actions.decisions) {
    stats_.undecided += decision.state == KeyState::kUnknown ? 1 : 0;
    decisions_.push_back(decision);
  }
}

void AtMostOnce::Handle(InstanceId from, const RequestMessage& message,
                        TimePoint now, KeyActions& key_actions) {
  if (const auto* claim = std::get_if<KeyClaim>(&message)) {
    if (const auto state = AnswerClaim(from, *claim, now)) {
      key_actions.Send(from, KeyVerdict{claim->key, claim->request, *state});
    }
  } else if (const auto* verdict = std::get_if<KeyVerdict>(&message)) {
    claims_.OnVerdict(from, *verdict, now, key_actions);
  } else if (const auto* settled = std::get_if<KeySettled>(&message)) {
    table_.Settle(from, *settled, now);
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
  // The keys have been handed over already, so a claim recorded now would be
  // lost.
  if (is_leaving_) {
    return std::nullopt;
  }
  const auto knows_all_claims =
      completeness_.KnowsAllClaims(claim.key, claim.memory, now);
  stats_.abstained += knows_all_claims ? 0 : 1;
  return table_.Claim(from, claim, knows_all_claims, now);
}

void AtMostOnce::OnHandOver(InstanceId from, const KeyHandOver& message,
                            TimePoint now) {
  auto& incoming = incoming_[from];
  incoming.had_capacity =
      table_.Import(message.entries, now) && incoming.had_capacity;
  incoming.parts.insert(message.part);
  if (incoming.parts.size() < message.parts) {
    return;
  }
  if (incoming.had_capacity) {
    completeness_.OnHandOver(from, message.knows_since, now);
  }
  incoming_.erase(from);
}

void AtMostOnce::BeginLeave(RequestActions& actions, TimePoint now) {
  completeness_.DetectSuspension(now);
  is_leaving_ = true;
  const auto others = WithoutMember(self_, view_);
  for (const auto& member : others.members) {
    if (member.data_centre != view_.data_centre || !IsServing(member.state)) {
      continue;
    }
    const auto entries = table_.Export([&](IdempotencyKey key) {
      return IsNextHome(key, member.id, others, now);
    });
    HandOver(member.id, entries, actions);
  }
}

auto AtMostOnce::IsNextHome(IdempotencyKey key, InstanceId candidate,
                            const MemberView& others, TimePoint now) const
    -> bool {
  // With the longest retention, more members count as incomplete homes, so that
  // the key is handed to every member that may become a home of it.
  const auto homes = SelectKeyHomes(key, kDepartureRetention,
                                    {view_.data_centre}, others, now);
  const auto& instances = homes.groups.front().instances;
  return std::find(instances.begin(), instances.end(), candidate) !=
         instances.end();
}

void AtMostOnce::HandOver(InstanceId to,
                          const std::vector<KeyHandOver::Entry>& entries,
                          RequestActions& actions) const {
  const auto batches = std::max<std::size_t>(
      1, (entries.size() + kHandOverBatchSize - 1) / kHandOverBatchSize);
  for (std::size_t batch = 0; batch < batches; ++batch) {
    const auto begin = batch * kHandOverBatchSize;
    const auto end = std::min(begin + kHandOverBatchSize, entries.size());
    auto message = KeyHandOver();
    message.entries.assign(entries.begin() + static_cast<std::ptrdiff_t>(begin),
                           entries.begin() + static_cast<std::ptrdiff_t>(end));
    message.knows_since = completeness_.KnowsSince();
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
  stats.keys = table_.size();
  stats.refused_at_capacity = table_.refused();
  return stats;
}

auto AtMostOnce::Describe() const -> std::string {
  return "keys " + table_.Describe() + " home " + completeness_.Describe() +
         " claims " + claims_.Describe() + (is_leaving_ ? " leaving" : "");
}

}  // namespace hemlockwick
