#include "Fleet/member_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace hemlockwick {

namespace {

// The record of a dead member is kept as a tombstone for this long, so that an
// outdated instance list does not add the member again.
constexpr Duration kTombstoneRetention = std::chrono::minutes(10);

// Each instance includes a change in this many messages per doubling of the
// number of members in the data centre.
constexpr std::uint32_t kSendsPerDoubling = 2;

// Number of instances of a data centre that probe the same contact in another
// one.
constexpr std::size_t kProbersPerContact = 2;

// Ring neighbours kept in each direction: enough to skip the members of an
// unreachable data centre.
constexpr std::size_t kRingNeighbours = 16;

// A claimed death is ignored when this instance has received a message from the
// member within this time, because members are declared dead only after a
// longer silence.
constexpr Duration kRecentContact = std::chrono::seconds(1);

constexpr std::uint64_t kReaderSalt = 0x7265616465720001ULL;
constexpr std::uint64_t kRingSalt = 0x72696e6700000001ULL;

auto RankOf(InstanceId id, std::uint64_t salt) -> std::uint64_t {
  return MixWords(id.value(), salt);
}

// Returns the kRingNeighbours ids with the smallest `distance`.
template <typename Distance>
auto Nearest(std::vector<InstanceId> ids, const Distance& distance)
    -> std::vector<InstanceId> {
  const auto count = std::min(kRingNeighbours, ids.size());
  std::partial_sort(ids.begin(),
                    ids.begin() + static_cast<std::ptrdiff_t>(count), ids.end(),
                    [&distance](InstanceId left, InstanceId right) {
                      return distance(left) < distance(right);
                    });
  ids.resize(count);
  return ids;
}

auto IsDead(const MemberRecord& record) -> bool {
  return record.member.state == MemberState::kDead;
}

}  // namespace

MemberTable::MemberTable(Member self, EventLog& events, TimePoint now)
    : self_(self.id), data_centre_(self.data_centre), events_(events) {
  auto record = MemberRecord{std::move(self), true, now, now, 0};
  MarkForGossip(records_.emplace(self_, std::move(record)).first->second);
}

auto MemberTable::Apply(const MemberUpdate& update, TimePoint now) -> bool {
  if (update.member.id == self_) {
    return RefuteIfNeeded(update.member);
  }
  const auto found = records_.find(update.member.id);
  if (found == records_.end()) {
    return Insert(update, now);
  }
  return Merge(found->second, update, now);
}

auto MemberTable::RefuteIfNeeded(const Member& claim) -> bool {
  auto& self = records_.at(self_);
  const auto is_accurate =
      claim.state == MemberState::kAlive || claim.state == self.member.state;
  if (is_accurate || claim.incarnation < self.member.incarnation) {
    return false;
  }
  self.member.incarnation = claim.incarnation + 1;
  MarkForGossip(self);
  return true;
}

auto MemberTable::Insert(const MemberUpdate& update, TimePoint now) -> bool {
  const auto& member = update.member;
  // A short-form update is useless when the member is not known.
  if (member.name.empty() || !MakeRoom(member)) {
    return false;
  }
  auto record = MemberRecord{member, update.listed, TimePoint(), now, 0};
  auto& inserted = records_.emplace(member.id, std::move(record)).first->second;
  if (member.data_centre != data_centre_) {
    contacts_[member.data_centre].insert(member.id);
  }
  selections_valid_ = false;
  list_known_ = list_known_ || update.listed;
  // What a starting instance learns before it has read the list is known to the
  // others already, so it is not gossiped.
  if (list_applied_) {
    MarkForGossip(inserted);
  }
  if (!IsPublished(inserted) || IsDead(inserted)) {
    return false;
  }
  has_urgent_change_ = has_urgent_change_ || list_applied_;
  events_.Record(EventKind::kMemberJoined, member.name, "", now);
  return true;
}

// Of another data centre only the contacts are kept: the members with the
// lowest rank, so that instances that know the same members keep the same
// contacts. Evicts the contact with the highest rank when `member` has a lower
// one.
auto MemberTable::MakeRoom(const Member& member) -> bool {
  if (member.data_centre == data_centre_) {
    return true;
  }
  auto& known = contacts_[member.data_centre];
  auto kept = std::vector<InstanceId>();
  std::copy_if(known.begin(), known.end(), std::back_inserter(kept),
               [this](InstanceId id) { return !IsDead(records_.at(id)); });
  if (kept.size() < kContactsPerDataCentre) {
    return true;
  }
  const auto salt = member.data_centre.value();
  const auto last = *std::max_element(
      kept.begin(), kept.end(), [salt](InstanceId left, InstanceId right) {
        return RankOf(left, salt) < RankOf(right, salt);
      });
  if (RankOf(last, salt) <= RankOf(member.id, salt)) {
    return false;
  }
  records_.erase(last);
  gossip_pending_.erase(last);
  known.erase(last);
  return true;
}

auto MemberTable::Merge(MemberRecord& record, const MemberUpdate& update,
                        TimePoint now) -> bool {
  const auto& claim = update.member;
  auto& known = record.member;
  const auto was_published = IsPublished(record);
  const auto newly_listed = update.listed && !record.listed;
  if (newly_listed) {
    record.listed = true;
    list_known_ = true;
    selections_valid_ = false;
    if (list_applied_) {
      MarkForGossip(record);
    }
  }
  if (claim.state == MemberState::kDead &&
      now - record.last_contact < kRecentContact) {
    return false;
  }
  const auto is_newer =
      claim.incarnation > known.incarnation ||
      (claim.incarnation == known.incarnation && claim.state > known.state);
  if (is_newer) {
    const auto before = known.state;
    if (claim.name.empty()) {
      known.state = claim.state;
      known.incarnation = claim.incarnation;
    } else {
      known = claim;
    }
    if (before != known.state) {
      record.state_since = now;
      RecordChange(known, before, now);
      MarkForGossip(record);
    }
  }
  if (!was_published && IsPublished(record)) {
    has_urgent_change_ = has_urgent_change_ || list_applied_;
    events_.Record(EventKind::kMemberJoined, known.name, "", now);
  }
  return (is_newer || newly_listed) && IsPublished(record);
}

auto MemberTable::ApplyList(const std::vector<ListedInstance>& list,
                            TimePoint now) -> bool {
  auto changed = !list_known_;
  list_known_ = true;
  selections_valid_ = false;
  for (const auto& instance : list) {
    auto update = MemberUpdate();
    update.listed = true;
    auto& member = update.member;
    member.id = IdFromName<InstanceId>(instance.name);
    if (member.id == self_) {
      continue;
    }
    member.name = instance.name;
    member.data_centre = IdFromName<DataCentreId>(instance.data_centre);
    member.http_address = instance.http_address;
    member.packet_address = instance.packet_address;
    const auto* known = Find(member.id);
    if (known != nullptr) {
      member.incarnation = known->member.incarnation;
    }
    // Applied once, because the list may still show the leave of an earlier
    // process after the instance has been restarted.
    const auto was_leaving = known != nullptr && known->listed_leaving;
    if (instance.leaving && !was_leaving) {
      member.state = MemberState::kLeaving;
    }
    changed = Apply(update, now) || changed;
    const auto applied = records_.find(member.id);
    if (applied != records_.end()) {
      applied->second.listed_leaving = instance.leaving;
    }
  }
  list_applied_ = true;
  return changed;
}

void MemberTable::RecordContact(InstanceId id, TimePoint now) {
  const auto found = records_.find(id);
  if (found != records_.end()) {
    found->second.last_contact = now;
  }
}

auto MemberTable::SetState(InstanceId id, MemberState state, TimePoint now)
    -> bool {
  const auto found = records_.find(id);
  if (found == records_.end() || found->second.member.state == state) {
    return false;
  }
  auto& record = found->second;
  const auto before = std::exchange(record.member.state, state);
  record.state_since = now;
  RecordChange(record.member, before, now);
  MarkForGossip(record);
  return IsPublished(record);
}

void MemberTable::Leave(TimePoint now) {
  auto& self = records_.at(self_);
  self.member.state = MemberState::kLeaving;
  ++self.member.incarnation;
  self.state_since = now;
  MarkForGossip(self);
}

auto MemberTable::ExpireTombstones(TimePoint now) -> bool {
  const auto erased = std::erase_if(records_, [now](const auto& entry) {
    const auto& record = entry.second;
    return IsDead(record) && now - record.state_since > kTombstoneRetention;
  });
  selections_valid_ = selections_valid_ && erased == 0;
  return erased != 0;
}

void MemberTable::RecordChange(const Member& member, MemberState before,
                               TimePoint now) {
  selections_valid_ = false;
  // Suspicions are frequent under message loss; in a large fleet they are sent
  // only with probes and heartbeats.
  const auto is_small = records_.size() <= kSingleRingMembers;
  const auto is_suspicion =
      member.state == MemberState::kSuspect || before == MemberState::kSuspect;
  const auto is_death = member.state == MemberState::kDead;
  has_urgent_change_ =
      has_urgent_change_ || is_small || is_death || !is_suspicion;
  switch (member.state) {
    case MemberState::kAlive:
      events_.Record(EventKind::kMemberBack, member.name, "", now);
      return;
    case MemberState::kSuspect:
      events_.Record(EventKind::kMemberSuspected, member.name, "", now);
      return;
    case MemberState::kLeaving:
      events_.Record(EventKind::kMemberLeaving, member.name, "", now);
      return;
    case MemberState::kDead:
      events_.Record(EventKind::kMemberDead, member.name,
                     before == MemberState::kLeaving ? "after its leave" : "",
                     now);
      return;
  }
}

void MemberTable::MarkForGossip(MemberRecord& record) {
  const auto doublings = std::bit_width(local_members_.size() + 1);
  record.sends_left = kSendsPerDoubling * static_cast<std::uint32_t>(doublings);
  gossip_pending_.insert(record.member.id);
}

auto MemberTable::IsPublished(const MemberRecord& record) const -> bool {
  return record.listed || !list_known_;
}

auto MemberTable::IsContact(const MemberRecord& record) const -> bool {
  if (local_members_.size() <= kContactsPerDataCentre) {
    return true;
  }
  const auto salt = data_centre_.value();
  const auto rank = RankOf(record.member.id, salt);
  const auto lower = std::count_if(
      local_members_.begin(), local_members_.end(),
      [salt, rank](InstanceId id) { return RankOf(id, salt) < rank; });
  return static_cast<std::size_t>(lower) < kContactsPerDataCentre;
}

auto MemberTable::UpdateOf(const MemberRecord& record) const -> MemberUpdate {
  auto update = MemberUpdate{record.member, record.listed};
  if (record.member.state == MemberState::kSuspect ||
      record.member.state == MemberState::kDead) {
    update.member.name.clear();
  }
  return update;
}

auto MemberTable::TakeUpdates(InstanceId to, std::size_t limit)
    -> std::vector<MemberUpdate> {
  RebuildSelections();
  const auto* receiver = Find(to);
  const auto is_remote = !IsSingleRing() && receiver != nullptr &&
                         receiver->member.data_centre != data_centre_;
  auto candidates = std::vector<MemberRecord*>();
  for (const auto id : gossip_pending_) {
    auto& record = records_.at(id);
    const auto is_wanted =
        !is_remote ||
        (record.member.data_centre == data_centre_ && IsContact(record));
    if (is_wanted && id != to) {
      candidates.push_back(&record);
    }
  }
  const auto count = std::min(limit, candidates.size());
  std::partial_sort(candidates.begin(),
                    candidates.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates.end(),
                    [](const MemberRecord* left, const MemberRecord* right) {
                      return left->sends_left > right->sends_left;
                    });
  auto updates = std::vector<MemberUpdate>();
  for (std::size_t i = 0; i < count; ++i) {
    auto& record = *candidates[i];
    updates.push_back(UpdateOf(record));
    if (--record.sends_left == 0) {
      gossip_pending_.erase(record.member.id);
    }
  }
  return updates;
}

auto MemberTable::RepairPage(std::size_t count) -> std::vector<MemberUpdate> {
  auto recent = std::vector<const MemberRecord*>();
  for (const auto& [id, record] : records_) {
    if (IsSingleRing() || record.member.data_centre == data_centre_) {
      recent.push_back(&record);
    }
  }
  const auto latest = std::min(count / 2, recent.size());
  std::partial_sort(
      recent.begin(), recent.begin() + static_cast<std::ptrdiff_t>(latest),
      recent.end(), [](const MemberRecord* left, const MemberRecord* right) {
        return left->state_since > right->state_since;
      });
  auto updates = std::vector<MemberUpdate>();
  for (std::size_t i = 0; i < latest; ++i) {
    updates.push_back(UpdateOf(*recent[i]));
  }
  AddInRotation(count, updates);
  return updates;
}

void MemberTable::AddInRotation(std::size_t count,
                                std::vector<MemberUpdate>& updates) {
  auto position = records_.upper_bound(repair_position_);
  for (std::size_t seen = 0; seen < records_.size(); ++seen) {
    if (position == records_.end()) {
      position = records_.begin();
    }
    repair_position_ = position->first;
    const auto& record = position->second;
    if (IsSingleRing() || record.member.data_centre == data_centre_) {
      updates.push_back(UpdateOf(record));
    }
    if (updates.size() >= count) {
      return;
    }
    ++position;
  }
}

auto MemberTable::Find(InstanceId id) const -> const MemberRecord* {
  const auto found = records_.find(id);
  return found == records_.end() ? nullptr : &found->second;
}

auto MemberTable::peers() const -> const std::vector<InstanceId>& {
  RebuildSelections();
  return peers_;
}

auto MemberTable::ring_peers() const -> const std::vector<InstanceId>& {
  RebuildSelections();
  return ring_peers_;
}

auto MemberTable::remote_peers() const -> const std::vector<InstanceId>& {
  RebuildSelections();
  return remote_peers_;
}

auto MemberTable::successors() const -> const std::vector<InstanceId>& {
  RebuildSelections();
  return successors_;
}

auto MemberTable::predecessors() const -> const std::vector<InstanceId>& {
  RebuildSelections();
  return predecessors_;
}

auto MemberTable::IsReader(std::size_t count) const -> bool {
  RebuildSelections();
  const auto rank = RankOf(self_, kReaderSalt);
  const auto lower = std::count_if(
      local_members_.begin(), local_members_.end(),
      [this, rank](InstanceId id) {
        const auto state = records_.at(id).member.state;
        return state == MemberState::kAlive && RankOf(id, kReaderSalt) < rank;
      });
  return static_cast<std::size_t>(lower) < count;
}

auto MemberTable::LocalCount() const -> std::size_t {
  RebuildSelections();
  return local_members_.size();
}

auto MemberTable::RingDigest() const -> std::uint64_t {
  RebuildSelections();
  return ring_digest_;
}

auto MemberTable::IsUnreachable(DataCentreId id) const -> bool {
  auto has_suspect = false;
  for (const auto& [member, record] : records_) {
    if (record.member.data_centre != id || !IsPublished(record)) {
      continue;
    }
    const auto state = record.member.state;
    if (state == MemberState::kAlive || state == MemberState::kLeaving) {
      return false;
    }
    has_suspect = has_suspect || state == MemberState::kSuspect;
  }
  return has_suspect;
}

auto MemberTable::View(TimePoint refreshed) const -> MemberView {
  auto view = MemberView{self_, data_centre_, {}, refreshed, {}};
  auto others = std::vector<DataCentreId>();
  for (const auto& [id, record] : records_) {
    if (!IsPublished(record)) {
      continue;
    }
    view.members.push_back(record.member);
    if (record.member.data_centre != data_centre_) {
      others.push_back(record.member.data_centre);
    }
  }
  std::sort(others.begin(), others.end());
  others.erase(std::unique(others.begin(), others.end()), others.end());
  std::copy_if(others.begin(), others.end(),
               std::back_inserter(view.unreachable),
               [this](DataCentreId id) { return IsUnreachable(id); });
  return view;
}

void MemberTable::RebuildSelections() const {
  if (selections_valid_) {
    return;
  }
  selections_valid_ = true;
  peers_.clear();
  local_members_.clear();
  for (const auto& [id, record] : records_) {
    if (IsDead(record)) {
      continue;
    }
    if (id != self_) {
      peers_.push_back(id);
    }
    if (record.member.data_centre == data_centre_) {
      local_members_.push_back(id);
    }
  }
  SelectRing();
  SelectRemotePeers();
}

auto MemberTable::IsSingleRing() const -> bool {
  return peers_.size() < kSingleRingMembers;
}

void MemberTable::SelectRing() const {
  ring_peers_ = peers_;
  if (!IsSingleRing()) {
    ring_peers_ = local_members_;
    std::erase(ring_peers_, self_);
  }
  const auto own_rank = RankOf(self_, kRingSalt);
  successors_ = Nearest(ring_peers_, [own_rank](InstanceId id) {
    return RankOf(id, kRingSalt) - own_rank;
  });
  predecessors_ = Nearest(ring_peers_, [own_rank](InstanceId id) {
    return own_rank - RankOf(id, kRingSalt);
  });
  ring_digest_ = MixWords(self_.value(), records_.at(self_).listed ? 1 : 0);
  for (const auto id : ring_peers_) {
    ring_digest_ ^= MixWords(id.value(), records_.at(id).listed ? 1 : 0);
  }
}

void MemberTable::SelectRemotePeers() const {
  remote_peers_.clear();
  for (const auto contact : peers_) {
    if (records_.at(contact).member.data_centre == data_centre_) {
      continue;
    }
    const auto salt = contact.value();
    const auto rank = RankOf(self_, salt);
    const auto lower = std::count_if(
        local_members_.begin(), local_members_.end(),
        [salt, rank](InstanceId id) { return RankOf(id, salt) < rank; });
    if (static_cast<std::size_t>(lower) < kProbersPerContact) {
      remote_peers_.push_back(contact);
    }
  }
}

}  // namespace hemlockwick
