#include "Request/key_claims.h"

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>

namespace hemlockwick {

namespace {

auto IsGrant(KeyState state) -> bool {
  return state == KeyState::kFree || state == KeyState::kNotRun;
}

// Whether a home knows that no earlier attempt ran.
auto KnowsFree(KeyState state) -> bool {
  return IsGrant(state) || state == KeyState::kRefused;
}

// Whether a home has recorded the claim.
auto IsRecorded(KeyState state) -> bool {
  return IsGrant(state) || state == KeyState::kAbstained;
}

void AddUnique(InstanceId instance, std::vector<InstanceId>& instances) {
  if (std::find(instances.begin(), instances.end(), instance) ==
      instances.end()) {
    instances.push_back(instance);
  }
}

// Counts the groups in which every home has answered with a state that
// satisfies `all`, and at least one with a state that satisfies `any`.
template <typename Groups, typename All, typename Any>
auto CountGroups(const Groups& groups, const All& all, const Any& any)
    -> std::size_t {
  const auto counts = [&](const auto& group) {
    const auto has_all = std::all_of(
        group.begin(), group.end(),
        [&](const auto& home) { return home.has_answered && all(home.state); });
    const auto has_any = std::any_of(
        group.begin(), group.end(),
        [&](const auto& home) { return home.has_answered && any(home.state); });
    return has_all && has_any;
  };
  return static_cast<std::size_t>(
      std::count_if(groups.begin(), groups.end(), counts));
}

// The state in which another request holds the key, or nothing if no answer
// reports one.
template <typename Groups>
auto FindConflict(const Groups& groups) -> std::optional<KeyState> {
  auto conflict = std::optional<KeyState>();
  for (const auto& group : groups) {
    for (const auto& home : group) {
      if (!home.has_answered || IsRecorded(home.state) ||
          home.state == KeyState::kRefused) {
        continue;
      }
      // A run that may have happened takes precedence over one in progress.
      if (!conflict || home.state != KeyState::kRunning) {
        conflict = home.state;
      }
    }
  }
  return conflict;
}

}  // namespace

void KeyClaims::Begin(const KeyRequest& request, const MemberView& view,
                      TimePoint now, KeyActions& actions) {
  auto claim = Claim();
  claim.request = request;
  claim.times_out = std::min(now + kClaimTimeout, request.deadline);
  UpdateHomes(SelectKeyHomes(request.key, request.memory, request.data_centres,
                             view, now),
              claim);
  auto& added = claims_[request.request];
  added = std::move(claim);
  SendClaim(added, now, actions);
  Decide(request.request, false, now, actions);
}

void KeyClaims::UpdateHomes(const KeyHomeSet& homes, Claim& claim) {
  auto answered = std::map<InstanceId, Home>();
  for (const auto& group : claim.groups) {
    for (const auto& home : group) {
      answered.emplace(home.instance, home);
    }
  }
  claim.quorum = homes.quorum;
  claim.groups.clear();
  for (const auto& group : homes.groups) {
    auto& adopted = claim.groups.emplace_back();
    for (const auto instance : group.instances) {
      const auto found = answered.find(instance);
      adopted.push_back(found == answered.end() ? Home{instance}
                                                : found->second);
    }
  }
}

void KeyClaims::SendClaim(Claim& claim, TimePoint now, KeyActions& actions) {
  const auto& request = claim.request;
  for (const auto& group : claim.groups) {
    for (const auto& home : group) {
      if (home.has_answered) {
        continue;
      }
      AddUnique(home.instance, claim.contacted);
      actions.Send(home.instance, KeyClaim{request.key, request.request,
                                           request.deadline, request.memory});
    }
  }
  claim.next_send = now + kClaimResendInterval;
}

void KeyClaims::OnVerdict(InstanceId from, const KeyVerdict& verdict,
                          TimePoint now, KeyActions& actions) {
  const auto found = claims_.find(verdict.request);
  if (found == claims_.end() || found->second.is_held ||
      found->second.request.key != verdict.key) {
    return;
  }
  for (auto& group : found->second.groups) {
    for (auto& home : group) {
      if (home.instance == from) {
        home.has_answered = true;
        home.state = verdict.state;
      }
    }
  }
  Decide(verdict.request, false, now, actions);
}

void KeyClaims::Decide(RequestId request, bool is_final, TimePoint now,
                       KeyActions& actions) {
  auto& claim = claims_.at(request);
  if (now >= claim.request.deadline) {
    is_final = true;
  }
  if (const auto conflict = FindConflict(claim.groups)) {
    const auto state = *conflict == KeyState::kRunning ? KeyState::kRunning
                                                       : KeyState::kUnknown;
    End(request, state, now, actions);
    return;
  }
  const auto granted = CountGroups(claim.groups, IsRecorded, IsGrant);
  const auto is_in_time = now < claim.request.deadline;
  if (granted >= claim.quorum && is_in_time) {
    claim.is_held = true;
    actions.decisions.push_back(
        KeyVerdict{claim.request.key, request, KeyState::kFree});
    return;
  }
  const auto all_answered = std::all_of(
      claim.groups.begin(), claim.groups.end(), [](const Group& group) {
        return std::all_of(group.begin(), group.end(),
                           [](const Home& home) { return home.has_answered; });
      });
  if (!is_final && !all_answered) {
    return;
  }
  const auto any_state = [](KeyState /*state*/) { return true; };
  const auto free = CountGroups(claim.groups, any_state, KnowsFree);
  End(request, free >= claim.quorum ? KeyState::kRefused : KeyState::kUnknown,
      now, actions);
}

void KeyClaims::End(RequestId request, KeyState state, TimePoint now,
                    KeyActions& actions) {
  auto claim = std::move(claims_.at(request));
  claims_.erase(request);
  actions.decisions.push_back(KeyVerdict{claim.request.key, request, state});
  settlements_.push_back(
      Settlement{KeySettled{claim.request.key, request, KeyState::kNotRun},
                 std::move(claim.contacted), kSettlementSends, now});
  SendSettlement(settlements_.back(), now, actions);
}

void KeyClaims::OnMembers(const MemberView& view, TimePoint now,
                          KeyActions& actions) {
  auto undecided = std::vector<RequestId>();
  for (auto& [id, claim] : claims_) {
    if (claim.is_held) {
      continue;
    }
    const auto& request = claim.request;
    UpdateHomes(SelectKeyHomes(request.key, request.memory,
                               request.data_centres, view, now),
                claim);
    SendClaim(claim, now, actions);
    undecided.push_back(id);
  }
  for (const auto id : undecided) {
    Decide(id, false, now, actions);
  }
}

void KeyClaims::OnTick(TimePoint now, KeyActions& actions) {
  auto late = std::vector<RequestId>();
  for (auto& [id, claim] : claims_) {
    if (claim.is_held) {
      continue;
    }
    if (claim.times_out <= now) {
      late.push_back(id);
    } else if (claim.next_send <= now) {
      SendClaim(claim, now, actions);
    }
  }
  for (const auto id : late) {
    Decide(id, true, now, actions);
  }
  for (auto& settlement : settlements_) {
    if (settlement.next_send <= now) {
      SendSettlement(settlement, now, actions);
    }
  }
  std::erase_if(settlements_, [](const Settlement& settlement) {
    return settlement.sends_left == 0;
  });
}

void KeyClaims::SendSettlement(Settlement& settlement, TimePoint now,
                               KeyActions& actions) {
  for (const auto home : settlement.homes) {
    actions.Send(home, settlement.message);
  }
  --settlement.sends_left;
  settlement.next_send = now + kSettlementResendInterval;
}

auto KeyClaims::NextTick() const -> TimePoint {
  auto next = TimePoint::max();
  for (const auto& [id, claim] : claims_) {
    if (!claim.is_held) {
      next = std::min({next, claim.next_send, claim.times_out});
    }
  }
  for (const auto& settlement : settlements_) {
    next = std::min(next, settlement.next_send);
  }
  return next;
}

auto KeyClaims::MaySend(RequestId request, TimePoint now) const -> bool {
  const auto found = claims_.find(request);
  return found != claims_.end() && found->second.is_held &&
         now < found->second.request.deadline;
}

void KeyClaims::Settle(RequestId request, KeyState state,
                       const MemberView& view, TimePoint now,
                       KeyActions& actions) {
  const auto found = claims_.find(request);
  if (found == claims_.end()) {
    return;
  }
  auto claim = std::move(found->second);
  claims_.erase(found);
  // Members that became homes after the claim was sent received it in a
  // hand-over, so they need the outcome too.
  const auto& wanted = claim.request;
  const auto current =
      SelectKeyHomes(wanted.key, wanted.memory, wanted.data_centres, view, now);
  for (const auto& group : current.groups) {
    for (const auto instance : group.instances) {
      AddUnique(instance, claim.contacted);
    }
  }
  const auto ended = claim.is_held ? state : KeyState::kNotRun;
  settlements_.push_back(Settlement{KeySettled{wanted.key, request, ended},
                                    std::move(claim.contacted),
                                    kSettlementSends, now});
  SendSettlement(settlements_.back(), now, actions);
}

auto KeyClaims::Describe() const -> std::string {
  auto text = std::ostringstream();
  for (const auto& [id, claim] : claims_) {
    text << id.value() << (claim.is_held ? "held" : "open") << " sends "
         << ToUnixMillis(claim.next_send) << " ends "
         << ToUnixMillis(claim.times_out);
    for (const auto& group : claim.groups) {
      text << " |";
      for (const auto& home : group) {
        text << " " << home.instance.value() << "="
             << (home.has_answered ? static_cast<int>(home.state) : -1);
      }
    }
    text << " of " << claim.contacted.size() << ";";
  }
  for (const auto& settlement : settlements_) {
    text << " settles " << settlement.message.request.value() << "="
         << static_cast<int>(settlement.message.state) << " x"
         << settlement.sends_left << "@" << ToUnixMillis(settlement.next_send);
  }
  return text.str();
}

}  // namespace hemlockwick
