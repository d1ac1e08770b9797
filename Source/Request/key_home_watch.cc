#include "Request/key_home_watch.h"

#include <algorithm>
#include <iterator>
#include <sstream>
#include <utility>

namespace hemlockwick {

KeyHomeWatch::KeyHomeWatch(InstanceId self, TimePoint knows_since)
    : self_(self), knows_since_(knows_since) {}

void KeyHomeWatch::OnMembers(const MemberView& view, TimePoint now) {
  NoteTime(now);
  data_centre_ = view.data_centre;
  auto serving = std::vector<Member>();
  std::copy_if(view.members.begin(), view.members.end(),
               std::back_inserter(serving),
               [this](const Member& member) { return IsNeighbour(member); });
  NoteReturns(serving, now);
  NoteDepartures(serving, now);
  neighbours_ = std::move(serving);
}

auto KeyHomeWatch::IsNeighbour(const Member& member) const -> bool {
  return member.id != self_ && member.data_centre == data_centre_ &&
         IsServing(member.state);
}

void KeyHomeWatch::NoteReturns(const std::vector<Member>& serving,
                               TimePoint now) {
  for (const auto& member : serving) {
    const auto found = departed_.find(member.id);
    if (found == departed_.end()) {
      continue;
    }
    // The two did not reach one another; each may have acted for the other.
    if (found->second.seen + kViewLag <= now) {
      knows_since_ = now;
    }
    departed_.erase(found);
    handed_over_.erase(member.id);
  }
}

void KeyHomeWatch::NoteDepartures(const std::vector<Member>& serving,
                                  TimePoint now) {
  for (const auto& member : neighbours_) {
    const auto still_serves = std::any_of(
        serving.begin(), serving.end(),
        [&member](const Member& other) { return other.id == member.id; });
    if (!still_serves) {
      departed_.emplace(member.id, Departure{member.started, now});
    }
  }
  std::erase_if(departed_, [now](const auto& entry) {
    return entry.second.seen + kDepartureMemory <= now;
  });
  std::erase_if(handed_over_, [&](const auto& entry) {
    return entry.second.arrived + kDepartureMemory <= now;
  });
}

void KeyHomeWatch::NoteTime(TimePoint now) {
  if (last_call_ && *last_call_ + kViewLag <= now) {
    knows_since_ = now;
  }
  last_call_ = std::max(last_call(), now);
}

void KeyHomeWatch::OnHandOver(InstanceId from, TimePoint knows_since,
                              TimePoint now) {
  handed_over_[from] = HandOver{knows_since, now};
}

auto KeyHomeWatch::CanVouch(IdempotencyKey key, Duration memory,
                            TimePoint now) const -> bool {
  if (!data_centre_ || !RanksAmongHomes(key, memory, now)) {
    return false;
  }
  const auto rivals = FindRivals(key, memory, now);
  // Claims stop at the highest-ranked settled member, so this home has missed
  // what those above it noted.
  const auto own_rank = KeyRank(key, self_);
  const auto hides_claims = [own_rank](const Rival& rival) {
    return rival.rank > own_rank && !rival.is_covered;
  };
  if (std::any_of(rivals.begin(), rivals.end(), hides_claims)) {
    return false;
  }
  if (IsSettledHome(knows_since_, memory, now)) {
    return true;
  }
  // A young home knows what the highest-ranked settled one handed over.
  const auto holder = std::max_element(
      rivals.begin(), rivals.end(), [](const Rival& left, const Rival& right) {
        return left.rank < right.rank;
      });
  return holder != rivals.end() && holder->is_covered;
}

auto KeyHomeWatch::FindRivals(IdempotencyKey key, Duration memory,
                              TimePoint now) const -> std::vector<Rival> {
  auto rivals = std::vector<Rival>();
  for (const auto& member : neighbours_) {
    if (IsSettledHome(member.started, memory, now)) {
      rivals.push_back(Rival{KeyRank(key, member.id), false});
    }
  }
  for (const auto& [id, departure] : departed_) {
    const auto still_counts = !IsSettledHome(departure.seen, memory, now);
    if (still_counts &&
        IsSettledHome(departure.started, memory, departure.seen)) {
      rivals.push_back(Rival{KeyRank(key, id), IsCovered(id, memory, now)});
    }
  }
  return rivals;
}

auto KeyHomeWatch::RanksAmongHomes(IdempotencyKey key, Duration memory,
                                   TimePoint now) const -> bool {
  const auto rank = KeyRank(key, self_);
  const auto is_higher = [key, rank](InstanceId id) {
    return KeyRank(key, id) > rank;
  };
  const auto serving =
      std::count_if(neighbours_.begin(), neighbours_.end(),
                    [&](const Member& member) { return is_higher(member.id); });
  const auto departed =
      std::count_if(departed_.begin(), departed_.end(), [&](const auto& entry) {
        return is_higher(entry.first) &&
               !IsSettledHome(entry.second.seen, memory, now);
      });
  return serving + departed < static_cast<std::ptrdiff_t>(kMaxHomesPerGroup);
}

auto KeyHomeWatch::IsCovered(InstanceId departed, Duration memory,
                             TimePoint now) const -> bool {
  const auto found = handed_over_.find(departed);
  return found != handed_over_.end() &&
         IsSettledHome(found->second.knows_since, memory, now);
}

auto KeyHomeWatch::KnowsSince() const -> TimePoint {
  auto since = knows_since_;
  for (const auto& [id, departure] : departed_) {
    if (!handed_over_.contains(id)) {
      since = std::max(since, departure.seen);
    }
  }
  return since;
}

auto KeyHomeWatch::Describe() const -> std::string {
  auto text = std::ostringstream();
  text << ToUnixMillis(knows_since_) << "/" << ToUnixMillis(last_call());
  for (const auto& member : neighbours_) {
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
