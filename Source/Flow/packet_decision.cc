#include "Flow/packet_decision.h"

#include <algorithm>

#include "Flow/flow_timing.h"

namespace hemlockwick {

namespace {

constexpr auto kUnknownOwner = EndpointId();

constexpr auto ToWholeSeconds(Duration duration) -> std::uint32_t {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(duration).count());
}

}  // namespace

PacketDecision::PacketDecision(const FlowSnapshot& snapshot,
                               const ServiceTable& table,
                               const FlowPacket& packet, RecordTable& records,
                               FlowCounters& counters, SnapshotTrust trust,
                               TimePoint now)
    : snapshot_(snapshot),
      table_(table),
      packet_(packet),
      records_(records),
      counters_(counters),
      trust_(trust),
      now_(now),
      bucket_(table.BucketOf(packet.flow)),
      homes_(snapshot.homes->HomesOf(packet.flow)) {}

auto PacketDecision::Decide() -> FlowAction {
  if (packet_.opens && !trust_.view_is_current) {
    // The state is outdated, and the caller has retransmitted the SYN
    // meanwhile.
    return Refuse(DropReason::kNoEndpoint);
  }
  switch (packet_.relay.stage) {
    case RelayStage::kNone:
      return FromFabric();
    case RelayStage::kSecondHome:
      return AtSecondHome();
    case RelayStage::kFirstHome:
      return AtFirstHome();
    case RelayStage::kAskPeer:
      return DecideForPeer();
  }
  return Refuse(DropReason::kMalformed);
}

auto PacketDecision::FromFabric() -> FlowAction {
  if (homes_.first == nullptr) {
    return AtFirstHome();
  }
  if (IsSelf(homes_.first) && !packet_.opens) {
    if (const auto record = TouchRecord()) {
      return ForwardAndRefresh(*record);
    }
  }
  if (homes_.second == nullptr) {
    return IsSelf(homes_.first)
               ? AtFirstHome()
               : Relay(*homes_.first, RelayStage::kFirstHome, kUnknownOwner);
  }
  if (IsSelf(homes_.second)) {
    return AtSecondHome();
  }
  return Relay(*homes_.second, RelayStage::kSecondHome, kUnknownOwner);
}

auto PacketDecision::AtSecondHome() -> FlowAction {
  if (homes_.first == nullptr || IsSelf(homes_.first)) {
    return AtFirstHome();
  }
  const auto record = TouchRecord();
  const auto is_second = homes_.second == nullptr || IsSelf(homes_.second);
  if (!is_second && (packet_.opens || !record)) {
    // The sender has an older membership view. The first home asks the second
    // one when it does not know the flow.
    const auto* next = packet_.opens ? homes_.second : homes_.first;
    return Relay(*next, RelayStage::kSecondHome, kUnknownOwner);
  }
  if (packet_.opens) {
    return OpenAtSecondHome(record);
  }
  if (!record) {
    return Relay(*homes_.first, RelayStage::kFirstHome, kUnknownOwner);
  }
  if (homes_.first->suspect) {
    return ForwardTo(record->endpoint);
  }
  return Relay(*homes_.first, RelayStage::kFirstHome, record->endpoint);
}

auto PacketDecision::OpenAtSecondHome(const std::optional<FlowRecord>& record)
    -> FlowAction {
  if (record && IsRetransmission(*record)) {
    return Relay(*homes_.first, RelayStage::kFirstHome, record->endpoint);
  }
  const auto owner = ChooseOwner();
  if (owner == kNoOwner) {
    return Refuse(DropReason::kNoEndpoint);
  }
  const auto id = table_.endpoint(owner).id;
  if (!StoreRecord(id)) {
    return Refuse(DropReason::kOverLimit);
  }
  if (homes_.first->suspect) {
    return ForwardTo(id);
  }
  return Relay(*homes_.first, RelayStage::kFirstHome, id);
}

auto PacketDecision::AtFirstHome() -> FlowAction {
  const auto record = TouchRecord();
  if (packet_.opens) {
    return OpenAtFirstHome(record);
  }
  if (record) {
    return KnownAtFirstHome(*record);
  }
  if (packet_.relay.known_owner == kUnknownOwner) {
    return UnknownAtFirstHome();
  }
  StoreRecord(packet_.relay.known_owner);
  return ForwardViaThirdHome(packet_.relay.known_owner);
}

auto PacketDecision::OpenAtFirstHome(const std::optional<FlowRecord>& record)
    -> FlowAction {
  if (record && IsRetransmission(*record)) {
    return KnownAtFirstHome(*record);
  }
  if (packet_.relay.known_owner != kUnknownOwner) {
    if (!StoreRecord(packet_.relay.known_owner)) {
      return Refuse(DropReason::kOverLimit);
    }
    return ForwardViaThirdHome(packet_.relay.known_owner);
  }
  const auto owner = ChooseOwner();
  if (owner == kNoOwner) {
    return Refuse(DropReason::kNoEndpoint);
  }
  const auto id = table_.endpoint(owner).id;
  if (!StoreRecord(id)) {
    return Refuse(DropReason::kOverLimit);
  }
  return ForwardViaSecondHome(id);
}

auto PacketDecision::KnownAtFirstHome(const FlowRecord& record) -> FlowAction {
  const auto reported_owner = packet_.relay.known_owner;
  if (reported_owner == kUnknownOwner) {
    return ForwardViaSecondHome(record.endpoint);
  }
  if (reported_owner != record.endpoint) {
    ++counters_.conflicts;
    conflicting_ = record;
  }
  return ForwardAndRefresh(record);
}

auto PacketDecision::UnknownAtFirstHome() -> FlowAction {
  const auto from_second = packet_.relay.stage == RelayStage::kFirstHome;
  if (trust_.view_is_current && (from_second || StableHome() != nullptr)) {
    return AskFormerHome();
  }
  // The second home has not been asked yet, or this home was suspended or cut
  // off and lets the second one decide.
  if (homes_.second != nullptr && !IsSelf(homes_.second)) {
    return Relay(*homes_.second, RelayStage::kAskPeer, kUnknownOwner);
  }
  return trust_.view_is_current ? AskFormerHome()
                                : Refuse(DropReason::kNoEndpoint);
}

auto PacketDecision::AskFormerHome() -> FlowAction {
  const auto* former = FormerHome();
  if (former != nullptr && packet_.relay.hops < kMaxRelayHops) {
    return Relay(*former, RelayStage::kAskPeer, kUnknownOwner);
  }
  return ForwardUnknown();
}

auto PacketDecision::DecideForPeer() -> FlowAction {
  const auto record = TouchRecord();
  const auto reported_owner = packet_.relay.known_owner;
  if (reported_owner != kUnknownOwner) {
    const auto is_new = !record || packet_.opens;
    if (is_new) {
      StoreRecord(reported_owner);
    }
    const auto from_first = IsSelf(homes_.second);
    return is_new && from_first ? ForwardViaThirdHome(reported_owner)
                                : ForwardTo(reported_owner);
  }
  if (record) {
    return ForwardTo(record->endpoint);
  }
  if (!trust_.view_is_current) {
    return Refuse(DropReason::kNoEndpoint);
  }
  const auto is_home =
      IsSelf(homes_.first) || IsSelf(homes_.second) || IsSelf(homes_.third);
  const auto has_hops = packet_.relay.hops < kMaxRelayHops;
  if (!is_home && homes_.first != nullptr && has_hops) {
    // The sender has an older membership view.
    return Relay(*homes_.first, RelayStage::kAskPeer, kUnknownOwner);
  }
  return AskFormerHome();
}

// A flow without a record belongs to the earliest owner of its bucket.
auto PacketDecision::ForwardUnknown() -> FlowAction {
  const auto owner = table_.EarliestOwnerOf(bucket_);
  if (owner != kNoOwner && snapshot_.partitioned_since) {
    return ForwardUnknownInPartition(owner);
  }
  return Forward(owner);
}

// An unknown flow may have opened on the other side of a partition that has
// healed without this instance noticing yet. Flows seen early in the partition
// cannot. Others wait until this instance would have noticed that it has
// healed.
auto PacketDecision::ForwardUnknownInPartition(OwnerIndex owner) -> FlowAction {
  const auto id = table_.endpoint(owner).id;
  const auto waiting = records_.Find(packet_.flow);
  const auto learning =
      now_ < *snapshot_.partitioned_since + kPartitionLearningTime;
  const auto waited =
      waiting && ToUnixSeconds(now_) > waiting->opened_seconds +
                                           ToWholeSeconds(kPartitionHealTime);
  if (records_.IsNearlyFull(packet_.flow)) {
    ++counters_.unrecorded;
    return Forward(owner);
  }
  if (learning || waited) {
    records_.Put(MakeRecord(id));
    return ForwardTo(id);
  }
  if (!waiting) {
    records_.Put(MakeRecord(kUnknownOwner));
  }
  return Refuse(DropReason::kNoEndpoint);
}

// Returns the record of the flow; none while its owner is not known yet.
auto PacketDecision::TouchRecord() -> std::optional<FlowRecord> {
  const auto record = records_.Touch(packet_.flow, packet_.closes, now_);
  if (record && record->endpoint == kUnknownOwner) {
    return std::nullopt;
  }
  return record;
}

auto PacketDecision::ChooseOwner() const -> OwnerIndex {
  const auto owner = table_.OwnerOfNewFlow(bucket_, packet_.flow, now_);
  if (IsUnreachable(owner)) {
    return table_.ReachableOwner(bucket_, snapshot_.unreachable, now_);
  }
  const auto full = records_.IsNearlyFull(packet_.flow);
  const auto earliest = table_.EarliestOwnerOf(bucket_);
  if (full && table_.AcceptsNewFlows(earliest, now_)) {
    return earliest;
  }
  return owner;
}

auto PacketDecision::IsUnreachable(OwnerIndex owner) const -> bool {
  if (owner == kNoOwner) {
    return false;
  }
  const auto& unreachable = snapshot_.unreachable;
  return std::find(unreachable.begin(), unreachable.end(),
                   table_.endpoint(owner).data_centre) != unreachable.end();
}

// Whether a SYN belongs to the recorded flow rather than to a new flow of the
// same addresses and ports.
auto PacketDecision::IsRetransmission(const FlowRecord& record) const -> bool {
  if (record.closed_seconds != 0) {
    return false;
  }
  constexpr auto kRetransmitSeconds =
      std::chrono::duration_cast<std::chrono::seconds>(kSynRetransmitTime);
  const auto age = ToUnixSeconds(now_) - record.opened_seconds;
  const auto recent = age <= kRetransmitSeconds.count();
  return recent || table_.AcceptsNewFlows(table_.Find(record.endpoint), now_);
}

// A flow of a settled bucket needs a record only when its endpoint is not the
// owner of the bucket, which happens during a partition.
auto PacketDecision::NeedsRecord(EndpointId owner) const -> bool {
  if (!table_.IsSettled(bucket_)) {
    return true;
  }
  const auto settled_owner = table_.OwnerOf(bucket_);
  return settled_owner == kNoOwner ||
         table_.endpoint(settled_owner).id != owner;
}

// Whether the flow reaches its owner without a record too.
auto PacketDecision::IsFoundWithoutRecord(EndpointId owner) const -> bool {
  const auto earliest = table_.EarliestOwnerOf(bucket_);
  return earliest != kNoOwner && table_.endpoint(earliest).id == owner;
}

// Returns false when the flow needs a record and there is no room for it.
auto PacketDecision::StoreRecord(EndpointId owner) -> bool {
  if (!NeedsRecord(owner)) {
    records_.Remove(packet_.flow);
    return true;
  }
  const auto nearly_full = records_.IsNearlyFull(packet_.flow);
  if (nearly_full && IsFoundWithoutRecord(owner)) {
    ++counters_.unrecorded;
    return true;
  }
  if (records_.Put(MakeRecord(owner))) {
    return true;
  }
  ++counters_.lost_records;
  return false;
}

auto PacketDecision::MakeRecord(EndpointId owner) const -> FlowRecord {
  auto record = FlowRecord();
  record.flow = packet_.flow;
  record.service = table_.service().id;
  record.endpoint = owner;
  record.opened_seconds = ToUnixSeconds(now_);
  record.last_seen_seconds = record.opened_seconds;
  record.closed_seconds = packet_.closes ? record.opened_seconds : 0;
  return record;
}

// The third home, or a second home that has not been asked, if it was a home
// before the last membership change too. It is most likely to have a record.
auto PacketDecision::StableHome() const -> const HomeMember* {
  if (snapshot_.former_homes.empty()) {
    return nullptr;
  }
  const auto former = snapshot_.former_homes.front()->HomesOf(packet_.flow);
  const auto was_home = [&former](const HomeMember& member) {
    for (const auto* home : {former.first, former.second, former.third}) {
      if (home != nullptr && home->id == member.id &&
          home->started == member.started) {
        return true;
      }
    }
    return false;
  };
  const auto second_asked = packet_.relay.stage == RelayStage::kFirstHome;
  const auto* second = second_asked ? nullptr : homes_.second;
  for (const auto* home : {homes_.third, second}) {
    if (home != nullptr && !IsSelf(home) && !home->suspect && was_home(*home)) {
      return home;
    }
  }
  return nullptr;
}

// A running instance that was a home of the flow recently.
auto PacketDecision::FormerHome() const -> const HomeMember* {
  const auto usable = [this](const HomeMember* member) {
    return member != nullptr && member->id != snapshot_.self &&
           (homes_.first == nullptr || member->id != homes_.first->id) &&
           (homes_.second == nullptr || member->id != homes_.second->id);
  };
  if (const auto* stable = StableHome()) {
    return stable;
  }
  if (!snapshot_.former_homes.empty() && usable(homes_.third)) {
    return homes_.third;
  }
  for (const auto& table : snapshot_.former_homes) {
    const auto former = table->HomesOf(packet_.flow);
    for (const auto* member : {former.first, former.second}) {
      if (usable(member) && IsRunning(*member)) {
        return member;
      }
    }
  }
  return nullptr;
}

auto PacketDecision::IsRunning(const HomeMember& member) const -> bool {
  return std::any_of(snapshot_.running.begin(), snapshot_.running.end(),
                     [&member](const HomeMember& running) {
                       return running.id == member.id &&
                              running.started == member.started;
                     });
}

auto PacketDecision::Forward(OwnerIndex owner) const -> FlowAction {
  return ForwardToOwner(snapshot_, table_, owner);
}

auto PacketDecision::ForwardTo(EndpointId owner) -> FlowAction {
  const auto found = table_.Find(owner);
  if (found != kNoOwner) {
    return Forward(found);
  }
  // The endpoint is from a newer version than this instance has; the other home
  // has that version.
  const auto asked = packet_.relay.stage == RelayStage::kAskPeer;
  if (!asked && homes_.second != nullptr && !IsSelf(homes_.second)) {
    return Relay(*homes_.second, RelayStage::kAskPeer, owner);
  }
  return Refuse(DropReason::kNoEndpoint);
}

// Forwards through the third home, which records the flow too, so that every
// data centre has a record of it.
auto PacketDecision::ForwardViaThirdHome(EndpointId owner) -> FlowAction {
  const auto has_third = homes_.third != nullptr && !IsSelf(homes_.third) &&
                         !homes_.third->suspect;
  const auto has_hops = packet_.relay.hops < kMaxRelayHops;
  if (has_third && has_hops && NeedsRecord(owner)) {
    return Relay(*homes_.third, RelayStage::kAskPeer, owner);
  }
  return ForwardTo(owner);
}

// Forwards through the third home once in each kThirdHomeRefreshInterval, so
// that its record does not expire.
auto PacketDecision::ForwardAndRefresh(const FlowRecord& record) -> FlowAction {
  constexpr auto kPeriod = std::chrono::duration_cast<std::chrono::seconds>(
                               kThirdHomeRefreshInterval)
                               .count();
  const auto due =
      record.last_seen_seconds / kPeriod != ToUnixSeconds(now_) / kPeriod;
  return due || packet_.closes ? ForwardViaThirdHome(record.endpoint)
                               : ForwardTo(record.endpoint);
}

// Forwards through the second home when it does not know the flow.
auto PacketDecision::ForwardViaSecondHome(EndpointId owner) -> FlowAction {
  const auto asked = packet_.relay.stage == RelayStage::kAskPeer;
  const auto has_second = homes_.second != nullptr && !IsSelf(homes_.second) &&
                          !homes_.second->suspect;
  const auto has_hops = packet_.relay.hops < kMaxRelayHops;
  if (!asked && has_second && has_hops && NeedsRecord(owner)) {
    return Relay(*homes_.second, RelayStage::kAskPeer, owner);
  }
  return ForwardTo(owner);
}

auto PacketDecision::Relay(const HomeMember& to, RelayStage stage,
                           EndpointId known_owner) -> FlowAction {
  if (packet_.relay.hops >= kMaxRelayHops) {
    return Refuse(DropReason::kLoop);
  }
  ++counters_.relayed;
  auto mark = RelayMark();
  mark.hops = static_cast<std::uint8_t>(packet_.relay.hops + 1);
  mark.stage = stage;
  mark.sender_version =
      std::max(snapshot_.version, packet_.relay.sender_version);
  mark.known_owner = known_owner;
  return RelayToInstance{to.id, to.packet_address, mark};
}

auto PacketDecision::Refuse(DropReason reason) -> FlowAction {
  ++counters_.refused;
  return DropPacket{reason};
}

}  // namespace hemlockwick
