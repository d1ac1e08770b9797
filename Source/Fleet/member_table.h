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

// Members kept of each data centre other than the own one.
inline constexpr std::size_t kContactsPerDataCentre = 8;

// A fleet of at most this many members monitors itself as one ring; a larger
// one has a ring in each data centre.
inline constexpr std::size_t kSingleRingMembers = 16;

// A member with what the table knows beyond what is published.
struct MemberRecord {
  Member member;
  bool listed = false;           // The platform's list has named it.
  TimePoint last_contact;        // Last message received from it directly.
  TimePoint state_since;         // When its present state was learnt.
  std::uint32_t sends_left = 0;  // Messages that still carry its state.
  bool listed_leaving = false;   // The list has named its leave.
};

// The members that one instance knows: all of its own data centre and a few of
// each other one. Merges what the list, probes and peers say.
class MemberTable {
 public:
  MemberTable(Member self, EventLog& events, TimePoint now);

  // Takes what a peer says. Returns whether the published view changed.
  auto Apply(const MemberUpdate& update, TimePoint now) -> bool;

  // Takes the platform's list: births and planned leaves, never deaths.
  auto ApplyList(const std::vector<ListedInstance>& list, TimePoint now)
      -> bool;

  // Notes a message received directly from the member.
  void RecordContact(InstanceId id, TimePoint now);

  // Sets the state that this instance's own probes have established.
  auto SetState(InstanceId id, MemberState state, TimePoint now) -> bool;

  // Marks this instance as leaving.
  void Leave(TimePoint now);

  // Whether a birth, death, return or leave has been learnt since the last
  // call, which peers should hear of at once.
  auto TakeUrgentChange() -> bool {
    return std::exchange(has_urgent_change_, false);
  }

  // Forgets dead members whose death has been known for long.
  auto ExpireTombstones(TimePoint now) -> bool;

  // Updates to carry in a message to `to`: those sent least often so far.
  auto TakeUpdates(InstanceId to, std::size_t limit)
      -> std::vector<MemberUpdate>;

  // `count` records to repair a peer that lacks some: those that changed last,
  // and the others in rotation.
  auto RepairPage(std::size_t count) -> std::vector<MemberUpdate>;

  [[nodiscard]] auto UpdateOf(const MemberRecord& record) const -> MemberUpdate;
  [[nodiscard]] auto Find(InstanceId id) const -> const MemberRecord*;
  [[nodiscard]] auto self() const -> const MemberRecord& {
    return records_.at(self_);
  }

  // Other members that may be sent messages, in no order; dead ones excluded.
  [[nodiscard]] auto peers() const -> const std::vector<InstanceId>&;

  // Peers of the own data centre, or all when the fleet is one ring.
  [[nodiscard]] auto ring_peers() const -> const std::vector<InstanceId>&;

  // Contacts in other data centres that this instance has to probe.
  [[nodiscard]] auto remote_peers() const -> const std::vector<InstanceId>&;

  // The members of the ring after and before this instance, nearest first.
  [[nodiscard]] auto successors() const -> const std::vector<InstanceId>&;
  [[nodiscard]] auto predecessors() const -> const std::vector<InstanceId>&;

  // Whether this instance is among the `count` members of its data centre
  // that have to read the platform.
  [[nodiscard]] auto IsReader(std::size_t count) const -> bool;

  // Living members of the own data centre, this instance included.
  [[nodiscard]] auto LocalCount() const -> std::size_t;

  // Equal on instances that know the same members of the ring.
  [[nodiscard]] auto RingDigest() const -> std::uint64_t;

  // Whether every known member of the data centre is suspected or dead, at
  // least one suspected.
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
  bool list_known_ = false;    // Some member is known to be listed.
  bool list_applied_ = false;  // This instance has read the list itself.
  bool has_urgent_change_ = false;
  InstanceId repair_position_;
  // Known members of other data centres, the dead ones included.
  std::map<DataCentreId, std::set<InstanceId>> contacts_;
  // Members whose state still has to be carried in messages.
  std::set<InstanceId> gossip_pending_;

  // Selections over the records, remade when a record has changed.
  mutable bool selections_valid_ = false;
  mutable std::vector<InstanceId> peers_;
  mutable std::vector<InstanceId> local_members_;  // With this instance.
  mutable std::vector<InstanceId> ring_peers_;
  mutable std::vector<InstanceId> remote_peers_;
  mutable std::vector<InstanceId> successors_;
  mutable std::vector<InstanceId> predecessors_;
  mutable std::uint64_t ring_digest_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_MEMBER_TABLE_H_
