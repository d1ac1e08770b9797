#include "Request/key_home_completeness.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace hemlockwick {

KeyHomeCompleteness::KeyHomeCompleteness(InstanceId self, TimePoint knows_since)
    : self_(self), knows_since_(knows_since) {}

void KeyHomeCompleteness::OnMembers(const MemberView& view, TimePoint now) {
  DetectSuspension(now);
  data_centre_ = view.data_centre;
  auto serving = std::vector<Member>();
  std::copy_if(view.members.begin(), view.members.end(),
               std::back_inserter(serving),
               [this](const Member& member) { return IsLocalPeer(member); });
  RecordReturns(serving, now);
  RecordDepartures(serving, now);
  local_peers_ = std::move(serving);
}

auto KeyHomeCompleteness::IsLocalPeer(const Member& member) const -> bool {
  return member.id != self_ && member.data_centre == data_centre_ &&
         IsServing(member.state);
}

void KeyHomeCompleteness::RecordReturns(const std::vector<Member>& serving,
                                        TimePoint now) {
  for (const auto& member : serving) {
    const auto found = departed_.find(member.id);
    if (found == departed_.end()) {
      continue;
    }
    // The two members could not reach each other, so either may have acted as a
    // home in place of the other.
    if (found->second.seen + kMaxViewLag <= now) {
      knows_since_ = now;
    }
    departed_.erase(found);
    handed_over_.erase(member.id);
  }
}

void KeyHomeCompleteness::RecordDepartures(const std::vector<Member>& serving,
                                           TimePoint now) {
  for (const auto& member : local_peers_) {
    const auto still_serves = std::any_of(
        serving.begin(), serving.end(),
        [&member](const Member& other) { return other.id == member.id; });
    if (!still_serves) {
      departed_.emplace(member.id, Departure{member.started, now});
    }
  }
  std::erase_if(departed_, [now](const auto& entry) {
    return entry.second.seen + kDepartureRetention <= now;
  });
  std::erase_if(handed_over_, [&](const auto& entry) {
    return entry.second.arrived + kDepartureRetention <= now;
  });
}

void KeyHomeCompleteness::DetectSuspension(TimePoint now) {
  if (last_call_ && *last_call_ + kMaxViewLag <= now) {
    knows_since_ = now;
  }
  last_call_ = std::max(last_call(), now);
}

void KeyHomeCompleteness::OnHandOver(InstanceId from, TimePoint knows_since,
                                     TimePoint now) {
  handed_over_[from] = HandOver{knows_since, now};
}

auto KeyHomeCompleteness::KnowsAllClaims(IdempotencyKey key, Duration memory,
                                         TimePoint now) const -> bool {
  if (!data_centre_ || !RanksAmongHomes(key, memory, now)) {
    return false;
  }
  const auto others = FindOtherHomes(key, memory, now);
  // Claims are sent only down to the highest-ranked complete home, so this home
  // has missed those that a complete home above it recorded.
  const auto own_rank = KeyRank(key, self_);
  const auto hides_claims = [own_rank](const OtherHome& other) {
    return other.rank > own_rank && !other.is_handed_over;
  };
  if (std::any_of(others.begin(), others.end(), hides_claims)) {
    return false;
  }
  if (CoversKeyMemory(knows_since_, memory, now)) {
    return true;
  }
  // An incomplete home knows the claims that the highest-ranked complete one
  // handed over.
  const auto holder =
      std::max_element(others.begin(), others.end(),
                       [](const OtherHome& left, const OtherHome& right) {
                         return left.rank < right.rank;
                       });
  return holder != others.end() && holder->is_handed_over;
}

auto KeyHomeCompleteness::FindOtherHomes(IdempotencyKey key, Duration memory,
                                         TimePoint now) const
    -> std::vector<OtherHome> {
  auto others = std::vector<OtherHome>();
  for (const auto& member : local_peers_) {
    if (CoversKeyMemory(member.started, memory, now)) {
      others.push_back(OtherHome{KeyRank(key, member.id), false});
    }
  }
  for (const auto& [id, departure] : departed_) {
    const auto still_counts = !CoversKeyMemory(departure.seen, memory, now);
    if (still_counts &&
        CoversKeyMemory(departure.started, memory, departure.seen)) {
      others.push_back(
          OtherHome{KeyRank(key, id), IsHandedOver(id, memory, now)});
    }
  }
  return others;
}

auto KeyHomeCompleteness::RanksAmongHomes(IdempotencyKey key, Duration memory,
                                          TimePoint now) const -> bool {
  const auto rank = KeyRank(key, self_);
  const auto is_higher = [key, rank](InstanceId id) {
    return KeyRank(key, id) > rank;
  };
  const auto serving =
      std::count_if(local_peers_.begin(), local_peers_.end(),
                    [&](const Member& member) { return is_higher(member.id); });
  const auto departed =
      std::count_if(departed_.begin(), departed_.end(), [&](const auto& entry) {
        return is_higher(entry.first) &&
               !CoversKeyMemory(entry.second.seen, memory, now);
      });
  return serving + departed < static_cast<std::ptrdiff_t>(kMaxHomesPerGroup);
}

auto KeyHomeCompleteness::IsHandedOver(InstanceId departed, Duration memory,
                                       TimePoint now) const -> bool {
  const auto found = handed_over_.find(departed);
  return found != handed_over_.end() &&
         CoversKeyMemory(found->second.knows_since, memory, now);
}

auto KeyHomeCompleteness::KnowsSince() const -> TimePoint {
  auto since = knows_since_;
  for (const auto& [id, departure] : departed_) {
    if (!handed_over_.contains(id)) {
      since = std::max(since, departure.seen);
    }
  }
  return since;
}

auto KeyHomeCompleteness::Describe() const -> std::string {
  auto text = std::ostringstream();
  text << ToUnixMillis(knows_since_) << "/" << ToUnixMillis(last_call());
  for (const auto& member : local_peers_) {
    text << " n" << member.id.value();
  }
  for (const auto& [id, departure] : departed_) {
    text << " d" << id.value() << "@" << ToUnixMillis(departure.seen);
  }
  for (const auto& [id, hand_over] : handed_over_) {
    text << " h" << id.value() << "@" << ToUnixMillis(hand_over.knows_since);
  }
  return text.str();
}

}  // namespace hemlockwick
