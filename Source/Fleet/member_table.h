#ifndef HEMLOCKWICK_FLEET_MEMBER_TABLE_H_
#define HEMLOCKWICK_FLEET_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Core/ids.h"
#include "Core/random.h"
#include "Core/time.h"
#include "Fleet/fleet_message.h"
#include "Fleet/instance_list.h"
#include "Fleet/member_view.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// Members (contacts) kept of each other data centre.
inline constexpr std::size_t kContactsPerDataCentre = 8;

// A fleet of at most this many members forms one ring for failure detection; a
// larger one has a ring in each data centre.
inline constexpr std::size_t kSingleRingMembers = 16;

// A member with the bookkeeping of the table, which is not published.
struct MemberRecord {
  Member member;
  bool listed = false;           // It has appeared in the platform's list.
  TimePoint last_contact;        // Last message received directly from it.
  TimePoint state_since;         // When its current state was learnt.
  std::uint32_t sends_left = 0;  // Messages that will still include its state.
  bool listed_leaving = false;   // The list shows it as leaving.
};

// The members that one instance knows: all of its own data centre and a few
// contacts of each other one. Merges the platform's list, the results of its
// own probes and the updates of peers.
class MemberTable {
 public:
  MemberTable(Member self, EventLog& events, TimePoint now);

  // Applies an update from a peer. Returns whether the published view changed.
  auto Apply(const MemberUpdate& update, TimePoint now) -> bool;

  // Applies the platform's list: joins and planned leaves, never deaths.
  // Returns whether the published view changed.
  auto ApplyList(const std::vector<ListedInstance>& list, TimePoint now)
      -> bool;

  // Records that a message from the member has been received directly.
  void RecordContact(InstanceId id, TimePoint now);

  // Sets a state that this instance's own probes have established. Returns
  // whether the published view changed.
  auto SetState(InstanceId id, MemberState state, TimePoint now) -> bool;

  // Marks this instance as leaving.
  void Leave(TimePoint now);

  // Returns whether a join, death, return or leave has been learnt since the
  // last call, which should be gossiped to peers at once.
  auto TakeUrgentChange() -> bool {
    return std::exchange(has_urgent_change_, false);
  }

  // Removes dead members whose retention period has passed. Returns whether
  // there were any.
  auto ExpireTombstones(TimePoint now) -> bool;

  // Returns at most `limit` updates for a message to `to`, those sent least
  // often so far first, and counts them as sent.
  auto TakeUpdates(InstanceId to, std::size_t limit)
      -> std::vector<MemberUpdate>;

  // Returns up to `count` records to repair the view of a peer that differs:
  // half are the latest changes, the others are taken in rotation.
  auto RepairPage(std::size_t count) -> std::vector<MemberUpdate>;

  [[nodiscard]] auto UpdateOf(const MemberRecord& record) const -> MemberUpdate;
  [[nodiscard]] auto Find(InstanceId id) const -> const MemberRecord*;
  [[nodiscard]] auto self() const -> const MemberRecord& {
    return records_.at(self_);
  }

  // All other members that are not dead, in no particular order.
  [[nodiscard]] auto peers() const -> const std::vector<InstanceId>&;

  // Peers in this instance's ring: those of its data centre, or all when the
  // fleet is one ring.
  [[nodiscard]] auto ring_peers() const -> const std::vector<InstanceId>&;

  // Contacts in other data centres that this instance has to probe.
  [[nodiscard]] auto remote_peers() const -> const std::vector<InstanceId>&;

  // The ring members after and before this instance, nearest first.
  [[nodiscard]] auto successors() const -> const std::vector<InstanceId>&;
  [[nodiscard]] auto predecessors() const -> const std::vector<InstanceId>&;

  // Whether this instance is one of the `count` members of its data centre that
  // are responsible for reading the platform.
  [[nodiscard]] auto IsReader(std::size_t count) const -> bool;

  // Number of members of this data centre that are not dead, including this
  // instance.
  [[nodiscard]] auto LocalCount() const -> std::size_t;

  // Digest of the ring's members; equal on instances that know the same
  // members.
  [[nodiscard]] auto RingDigest() const -> std::uint64_t;

  // Whether all published members of the data centre are suspected or dead, at
  // least one of them suspected.
  [[nodiscard]] auto IsUnreachable(DataCentreId id) const -> bool;
  [[nodiscard]] auto View(TimePoint refreshed) const -> MemberView;

  [[nodiscard]] auto records() const
      -> const std::map<InstanceId, MemberRecord>& {
    return records_;
  }

 private:
  auto Merge(MemberRecord& record, const MemberUpdate& update, TimePoint now)
      -> bool;
  auto RefuteIfNeeded(const Member& claim) -> bool;
  auto Insert(const MemberUpdate& update, TimePoint now) -> bool;
  auto MakeRoom(const Member& member) -> bool;
  void RecordChange(const Member& member, MemberState before, TimePoint now);
  void MarkForGossip(MemberRecord& record);
  void AddInRotation(std::size_t count, std::vector<MemberUpdate>& updates);
  [[nodiscard]] auto IsPublished(const MemberRecord& record) const -> bool;
  [[nodiscard]] auto IsContact(const MemberRecord& record) const -> bool;
  void RebuildSelections() const;
  void SelectRing() const;
  [[nodiscard]] auto IsSingleRing() const -> bool;
  void SelectRemotePeers() const;

  InstanceId self_;
  DataCentreId data_centre_;
  EventLog& events_;
  std::map<InstanceId, MemberRecord> records_;
  bool list_known_ = false;    // Some member is known to be in the list.
  bool list_applied_ = false;  // This instance has read the list itself.
  bool has_urgent_change_ = false;
  InstanceId repair_position_;
  // Known members of other data centres, including dead ones.
  std::map<DataCentreId, std::set<InstanceId>> contacts_;
  // Members whose state still has to be included in messages.
  std::set<InstanceId> gossip_pending_;

  // Selections over the records, rebuilt after a record has changed.
  mutable bool selections_valid_ = false;
  mutable std::vector<InstanceId> peers_;
  mutable std::vector<InstanceId> local_members_;  // Includes this instance.
  mutable std::vector<InstanceId> ring_peers_;
  mutable std::vector<InstanceId> remote_peers_;
  mutable std::vector<InstanceId> successors_;
  mutable std::vector<InstanceId> predecessors_;
  mutable std::uint64_t ring_digest_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_MEMBER_TABLE_H_
