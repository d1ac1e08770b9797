#include "Flow/flow_router_impl.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Flow/flow_timing.h"
#include "Flow/packet_decision.h"

namespace hemlockwick {

namespace {

constexpr Duration kExpiryInterval = std::chrono::seconds(10);
constexpr std::size_t kMaxFormerHomes = 16;
constexpr std::size_t kMaxConflicts = 1024;

// A planned stop waits at most this long for its hand-over.
constexpr Duration kHandOverTimeout = std::chrono::minutes(10);

// Idle timeout and lifetime of flows whose service is no longer configured.
constexpr Duration kUnknownServiceLifetime = std::chrono::hours(1);

auto LongestLifetime(const FleetConfig& config) -> Duration {
  auto longest = Duration(0);
  for (const auto& service : config.services) {
    longest = std::max(longest, service->flow_lifetime);
  }
  return longest;
}

auto WithoutSelf(const HomeTable& homes, InstanceId self)
    -> std::vector<HomeMember> {
  auto others = homes.members();
  std::erase_if(others,
                [self](const HomeMember& member) { return member.id == self; });
  return others;
}

// Whether `member` was a home of the flow before.
auto WasHome(const Homes& before, const HomeMember& member) -> bool {
  for (const auto* home : {before.first, before.second, before.third}) {
    if (home != nullptr && home->id == member.id &&
        home->started == member.started) {
      return true;
    }
  }
  return false;
}

auto IsOlderThan(std::uint32_t seconds, Duration limit, TimePoint now) -> bool {
  const auto age =
      std::chrono::seconds(ToUnixSeconds(now)) - std::chrono::seconds(seconds);
  return age > limit;
}

}  // namespace

FlowRouter::Impl::Impl(const FlowRouterSettings& settings, InstanceId self,
                       EventLog& events, TimePoint now)
    : settings_(settings),
      self_(self),
      events_(events),
      hand_overs_(settings.hand_over_bytes_per_second, now),
      next_expiry_(now + kExpiryInterval),
      last_tick_(now),
      refreshed_(now),
      records_(settings.max_records),
      trusted_from_(now) {
  RenewLease();
}

void FlowRouter::Impl::RenewLease() {
  lease_until_.store(
      std::min(last_tick_ + kControlLease, refreshed_ + kViewLease));
}

// Starts the leases at the first Update or OnTick. The time before is no
// absence: there was no state yet that could have become outdated.
void FlowRouter::Impl::MarkStarted(TimePoint now) {
  if (started_) {
    return;
  }
  started_ = now;
  last_tick_ = now;
  refreshed_ = now;
  trusted_from_.store(now);
}

// Detects a time in which this instance did not run or had no answer from a
// peer. Its state may be outdated until every version published meanwhile has
// arrived.
void FlowRouter::Impl::DetectAbsence(TimePoint now) {
  const auto paused = now - last_tick_ > kControlLease;
  const auto cut_off = now - refreshed_ > kViewLease;
  if (paused || cut_off) {
    was_absent_ = true;
    trusted_from_.store(now + kConfigPropagationTime);
    return;
  }
  if (!was_absent_) {
    return;
  }
  was_absent_ = false;
  if (homes_ != nullptr) {
    // The other instances may have made records meanwhile, so they are asked as
    // former homes.
    AddFormerHomes(
        std::make_shared<const HomeTable>(WithoutSelf(*homes_, self_)), now);
    changed_ = true;
  }
}

void FlowRouter::Impl::Update(std::shared_ptr<const FleetConfig> config,
                              const MemberView& members, TimePoint now) {
  MarkStarted(now);
  DetectAbsence(now);
  refreshed_ = std::max(refreshed_, members.refreshed);
  RenewLease();
  view_ = members;
  if (config == nullptr) {
    return;
  }
  const auto newer = config_ == nullptr || config->version > config_->version;
  if (newer) {
    config_ = std::move(config);
    tables_.Apply(*config_, now);
    changed_ = true;
  }
  UpdatePartition(now);
  UpdateHomes(now);
  Publish(now);
}

void FlowRouter::Impl::UpdateHomes(TimePoint now) {
  if (config_ == nullptr) {
    return;
  }
  auto running = RunningMembersOf(view_, *config_);
  if (running != running_) {
    running_ = std::move(running);
    changed_ = true;
  }
  auto members = HomeMembersOf(view_, *config_, leaving_since_.has_value());
  if (homes_ != nullptr && homes_->members() == members) {
    return;
  }
  const auto before = std::exchange(
      homes_, std::make_shared<const HomeTable>(std::move(members)));
  changed_ = true;
  hand_overs_.RetainMembers(*homes_);
  if (before != nullptr) {
    AddFormerHomes(before, now);
    QueueRecords(*before, now);
  } else {
    // The homes before this instance started.
    AddFormerHomes(
        std::make_shared<const HomeTable>(WithoutSelf(*homes_, self_)), now);
  }
}

void FlowRouter::Impl::AddFormerHomes(std::shared_ptr<const HomeTable> table,
                                      TimePoint now) {
  former_homes_.push_front({std::move(table), now + kFormerHomeRetention});
  if (former_homes_.size() > kMaxFormerHomes) {
    former_homes_.pop_back();
  }
}

// Queues every record for the members that have become its homes.
void FlowRouter::Impl::QueueRecords(const HomeTable& before, TimePoint now) {
  records_.ForEach([this, &before](const FlowRecord& record) {
    if (record.endpoint == EndpointId()) {
      return;  // Its owner is not known yet.
    }
    const auto old_homes = before.HomesOf(record.flow);
    const auto homes = homes_->HomesOf(record.flow);
    for (const auto* home : {homes.first, homes.second, homes.third}) {
      if (home != nullptr && home->id != self_ && !WasHome(old_homes, *home)) {
        hand_overs_.Add(*home, record.flow);
      }
    }
  });
  if (now >= partition_effect_until_) {
    return;
  }
  for (const auto& member : homes_->members()) {
    if (member.id != self_ && before.Find(member) == nullptr) {
      hand_overs_.QueuePartitionNotice(member);
    }
  }
}

// Tracks which data centres are unreachable. New flows avoid their endpoints
// after kPartitionDelay; from then on flows may open on both sides.
void FlowRouter::Impl::UpdatePartition(TimePoint now) {
  if (config_ == nullptr) {
    return;
  }
  if (view_.unreachable.empty()) {
    EndPartition(now);
    return;
  }
  last_unreachable_ = now;
  if (!unreachable_since_) {
    unreachable_since_ = now;
    changed_ = true;
  }
  partition_effect_until_ = now + LongestLifetime(*config_);
  const auto avoids = now >= *unreachable_since_ + kPartitionDelay;
  if (avoids && avoided_data_centres_ != view_.unreachable) {
    avoided_data_centres_ = view_.unreachable;
    changed_ = true;
  }
}

// Lets new flows use all endpoints at once. Unknown flows still wait until
// every instance has noticed the end of the partition.
void FlowRouter::Impl::EndPartition(TimePoint now) {
  changed_ = changed_ || !avoided_data_centres_.empty();
  avoided_data_centres_.clear();
  if (unreachable_since_ && now >= last_unreachable_ + kPartitionHealTime) {
    unreachable_since_.reset();
    changed_ = true;
  }
}

void FlowRouter::Impl::Publish(TimePoint now) {
  if (!changed_ || config_ == nullptr || homes_ == nullptr) {
    return;
  }
  auto next = std::make_shared<FlowSnapshot>();
  next->self = self_;
  next->version = config_->version;
  next->tables = tables_.by_address();
  next->quarantined = tables_.quarantined();
  next->homes = homes_;
  next->running = running_;
  for (const auto& former : former_homes_) {
    next->former_homes.push_back(former.table);
  }
  next->unreachable = avoided_data_centres_;
  next->partitioned_since = unreachable_since_;
  next->after_partition = now < partition_effect_until_;
  cell_.Publish(std::move(next));
  changed_ = false;
}

auto FlowRouter::Impl::Decide(const FlowSnapshot& snapshot,
                              const FlowPacket& packet, TimePoint now)
    -> FlowAction {
  if (packet.relay.hops > kMaxRelayHops) {
    return DropPacket{DropReason::kLoop};
  }
  const auto found = snapshot.tables->find(packet.destination);
  if (found == snapshot.tables->end()) {
    return DropPacket{DropReason::kUnknownService};
  }
  const auto& table = *found->second;
  const auto trust = TrustAt(now);
  if (trust.may_use_table && !snapshot.after_partition) {
    const auto bucket = table.BucketOf(packet.flow);
    if (table.IsSettled(bucket)) {
      return ForwardToOwner(snapshot, table, table.OwnerOf(bucket));
    }
  }
  return DecideByHomes(snapshot, table, packet, trust, now);
}

auto FlowRouter::Impl::DecideByHomes(const FlowSnapshot& snapshot,
                                     const ServiceTable& table,
                                     const FlowPacket& packet,
                                     SnapshotTrust trust, TimePoint now)
    -> FlowAction {
  auto decision =
      PacketDecision(snapshot, table, packet, records_, counters_, trust, now);
  const auto action = decision.Decide();
  if (decision.conflicting()) {
    const std::lock_guard lock(conflicts_mutex_);
    if (conflicts_.size() < kMaxConflicts) {
      conflicts_.push_back(*decision.conflicting());
    }
  }
  return action;
}

auto FlowRouter::Impl::OnTick(TimePoint now) -> FlowActions {
  MarkStarted(now);
  DetectAbsence(now);
  last_tick_ = now;
  RenewLease();
  if (tables_.Advance(now)) {
    changed_ = true;
  }
  while (!former_homes_.empty() && former_homes_.back().until <= now) {
    former_homes_.pop_back();
    changed_ = true;
  }
  const auto snapshot = cell_.Load();
  if (snapshot != nullptr && snapshot->after_partition &&
      now >= partition_effect_until_) {
    changed_ = true;
  }
  UpdatePartition(now);
  Publish(now);
  ExpireRecords(now);
  QueueConflicts();
  return hand_overs_.Collect(records_, partition_effect_until_, now);
}

// Queues the records on which this first home disagrees with the second home,
// to be sent to the second home.
void FlowRouter::Impl::QueueConflicts() {
  auto taken = std::vector<FlowRecord>();
  {
    const std::lock_guard lock(conflicts_mutex_);
    taken.swap(conflicts_);
  }
  for (const auto& record : taken) {
    const auto homes = homes_->HomesOf(record.flow);
    if (homes.second != nullptr && homes.second->id != self_) {
      hand_overs_.Add(*homes.second, record.flow);
    }
  }
}

void FlowRouter::Impl::ExpireRecords(TimePoint now) {
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  const auto may_forget = hand_overs_.empty() && homes_ != nullptr;
  records_.RemoveIf([this, may_forget, now](const FlowRecord& record) {
    // The record of a former home must not outlive its flow and be applied to a
    // later flow with the same key.
    if (may_forget && !IsHome(record.flow) &&
        IsOlderThan(record.last_seen_seconds, kFormerHomeRetention, now)) {
      return true;
    }
    const auto* table = tables_.Find(record.service);
    const auto idle = table == nullptr ? kUnknownServiceLifetime
                                       : table->service().idle_timeout;
    const auto lifetime = table == nullptr ? kUnknownServiceLifetime
                                           : table->service().flow_lifetime;
    const auto closing = record.closed_seconds != 0;
    return IsOlderThan(record.last_seen_seconds, idle, now) ||
           IsOlderThan(record.opened_seconds, lifetime, now) ||
           (closing &&
            IsOlderThan(record.closed_seconds, kClosedRecordRetention, now));
  });
}

auto FlowRouter::Impl::IsHome(FlowKey flow) const -> bool {
  const auto homes = homes_->HomesOf(flow);
  for (const auto* home : {homes.first, homes.second, homes.third}) {
    if (home != nullptr && home->id == self_) {
      return true;
    }
  }
  return false;
}

auto FlowRouter::Impl::OnMessage(InstanceId from, const FlowMessage& message,
                                 TimePoint now) -> FlowActions {
  if (const auto* ack = std::get_if<HandOverAck>(&message)) {
    hand_overs_.OnAck(from, *ack);
    return {};
  }
  const auto& hand_over = std::get<HandOver>(message);
  for (const auto& record : hand_over.records) {
    MergeRecord(record);
  }
  if (hand_over.partition_effect_until > partition_effect_until_) {
    partition_effect_until_ = hand_over.partition_effect_until;
    changed_ = true;
    Publish(now);
  }
  const auto* sender = FindMember(view_, from);
  if (sender == nullptr) {
    return {};
  }
  const auto ack = FlowMessage(HandOverAck{hand_over.sequence});
  hand_overs_.Charge(ack);
  return {{from, sender->http_address, ack}};
}

void FlowRouter::Impl::MergeRecord(const HandOverRecord& transferred) {
  const auto present = records_.Find(transferred.flow);
  const auto opened = ToUnixSeconds(transferred.opened);
  const auto known = present && present->endpoint != EndpointId();
  if (known && present->opened_seconds <= opened) {
    return;
  }
  auto record = FlowRecord();
  record.flow = transferred.flow;
  record.service = transferred.service;
  record.endpoint = transferred.endpoint;
  record.opened_seconds = opened;
  record.last_seen_seconds = ToUnixSeconds(transferred.last_seen);
  if (!records_.Put(record)) {
    ++counters_.lost_records;
  }
}

auto FlowRouter::Impl::BeginLeave(TimePoint now) -> FlowActions {
  if (!leaving_since_) {
    leaving_since_ = now;
    UpdateHomes(now);
    Publish(now);
    events_.Record(EventKind::kHandOverBegun, "flows",
                   std::to_string(records_.size()) + " records", now);
  }
  return hand_overs_.Collect(records_, partition_effect_until_, now);
}

auto FlowRouter::Impl::LeaveDone(TimePoint now) const -> bool {
  return leaving_since_.has_value() &&
         (hand_overs_.empty() || now >= *leaving_since_ + kHandOverTimeout);
}

auto FlowRouter::Impl::stats() const -> FlowStats {
  auto stats = FlowStats();
  stats.records = records_.size();
  stats.evicted = counters_.lost_records.load();
  stats.unsettled_buckets = tables_.unsettled_buckets();
  stats.total_buckets = tables_.total_buckets();
  stats.relayed = counters_.relayed.load();
  stats.unrecorded = counters_.unrecorded.load();
  stats.refused = counters_.refused.load();
  stats.conflicts = counters_.conflicts.load();
  stats.hand_over_bytes = hand_overs_.sent_bytes();
  stats.bytes_per_record = records_.bytes_per_record();
  return stats;
}

}  // namespace hemlockwick
