#include "Flow/record_table.h"

#include <algorithm>
#include <bit>

#include "Core/hash.h"

namespace hemlockwick {

namespace {

// Slots are kept at most three quarters full.
constexpr std::size_t kLoadNumerator = 3;
constexpr std::size_t kLoadDenominator = 4;

// A shard is nearly full above fifteen sixteenths of its capacity.
constexpr std::size_t kNearlyNumerator = 15;
constexpr std::size_t kNearlyDenominator = 16;

// A shard has at least this many records, so that the memory of its lock is
// small beside theirs.
constexpr std::size_t kMinPerShard = 64;
constexpr std::size_t kMaxShards = 64;

constexpr std::uint64_t kShardSeed = 0x7368617264;
constexpr std::uint64_t kSlotSeed = 0x736C6F74;

// A packet this long after a close shows that the flow is still half open.
constexpr std::uint32_t kHalfOpenSeconds = 2;

auto ShardCountOf(std::size_t max_records) -> std::size_t {
  const auto shards = max_records / kMinPerShard;
  return std::bit_floor(std::clamp<std::size_t>(shards, 1, kMaxShards));
}

}  // namespace

RecordTable::RecordTable(std::size_t max_records)
    : shards_(ShardCountOf(max_records)),
      max_per_shard_(std::max<std::size_t>(1, max_records / shards_.size())) {
  const auto slots = max_per_shard_ * kLoadDenominator / kLoadNumerator + 1;
  for (auto& shard : shards_) {
    shard.slots.resize(slots);
  }
}

auto RecordTable::ShardIndexOf(FlowKey flow) const -> std::size_t {
  return MixWords(flow.value(), kShardSeed) & (shards_.size() - 1);
}

auto RecordTable::ShardOf(FlowKey flow) const -> const Shard& {
  return shards_[ShardIndexOf(flow)];
}

auto RecordTable::ShardOf(FlowKey flow) -> Shard& {
  return shards_[ShardIndexOf(flow)];
}

auto RecordTable::HomeSlot(const Shard& shard, FlowKey flow) -> std::size_t {
  return MixWords(flow.value(), kSlotSeed) % shard.slots.size();
}

// Returns the slot of the flow, or the free slot where it would go.
auto RecordTable::Locate(const Shard& shard, FlowKey flow) -> std::size_t {
  auto slot = HomeSlot(shard, flow);
  while (shard.slots[slot].used && shard.slots[slot].flow != flow) {
    slot = (slot + 1) % shard.slots.size();
  }
  return slot;
}

auto RecordTable::Find(FlowKey flow) const -> std::optional<FlowRecord> {
  const auto& shard = ShardOf(flow);
  const std::lock_guard lock(shard.mutex);
  const auto& record = shard.slots[Locate(shard, flow)];
  return record.used ? std::optional(record) : std::nullopt;
}

auto RecordTable::Touch(FlowKey flow, bool closes, TimePoint now)
    -> std::optional<FlowRecord> {
  auto& shard = ShardOf(flow);
  const std::lock_guard lock(shard.mutex);
  auto& record = shard.slots[Locate(shard, flow)];
  if (!record.used) {
    return std::nullopt;
  }
  const auto before = record;
  const auto seconds = ToUnixSeconds(now);
  record.last_seen_seconds = std::max(record.last_seen_seconds, seconds);
  if (closes) {
    record.closed_seconds = seconds;
  } else if (seconds > record.closed_seconds + kHalfOpenSeconds) {
    record.closed_seconds = 0;
  }
  return before;
}

auto RecordTable::Put(const FlowRecord& record) -> bool {
  auto& shard = ShardOf(record.flow);
  const std::lock_guard lock(shard.mutex);
  auto& slot = shard.slots[Locate(shard, record.flow)];
  if (!slot.used) {
    if (shard.used >= max_per_shard_) {
      return false;
    }
    ++shard.used;
  }
  slot = record;
  slot.used = true;
  return true;
}

void RecordTable::Remove(FlowKey flow) {
  auto& shard = ShardOf(flow);
  const std::lock_guard lock(shard.mutex);
  const auto slot = Locate(shard, flow);
  if (shard.slots[slot].used) {
    Erase(shard, slot);
  }
}

void RecordTable::Erase(Shard& shard, std::size_t slot) {
  const auto count = shard.slots.size();
  auto hole = slot;
  auto next = (hole + 1) % count;
  while (shard.slots[next].used) {
    const auto home = HomeSlot(shard, shard.slots[next].flow);
    const auto distance_to_hole = (hole + count - home) % count;
    const auto distance_to_next = (next + count - home) % count;
    if (distance_to_hole < distance_to_next) {
      shard.slots[hole] = shard.slots[next];
      hole = next;
    }
    next = (next + 1) % count;
  }
  shard.slots[hole] = FlowRecord();
  --shard.used;
}

auto RecordTable::IsNearlyFull(FlowKey flow) const -> bool {
  const auto& shard = ShardOf(flow);
  const std::lock_guard lock(shard.mutex);
  return shard.used * kNearlyDenominator >= max_per_shard_ * kNearlyNumerator;
}

auto RecordTable::RemoveIf(const std::function<bool(const FlowRecord&)>& ended)
    -> std::size_t {
  auto removed = std::size_t{0};
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    auto slot = std::size_t{0};
    while (slot < shard.slots.size()) {
      if (shard.slots[slot].used && ended(shard.slots[slot])) {
        Erase(shard, slot);  // May move a later record into this slot.
        ++removed;
      } else {
        ++slot;
      }
    }
  }
  return removed;
}

void RecordTable::ForEach(
    const std::function<void(const FlowRecord&)>& visit) const {
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& record : shard.slots) {
      if (record.used) {
        visit(record);
      }
    }
  }
}

auto RecordTable::size() const -> std::size_t {
  auto total = std::size_t{0};
  for (const auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    total += shard.used;
  }
  return total;
}

auto RecordTable::bytes_per_record() const -> double {
  auto slots = std::size_t{0};
  for (const auto& shard : shards_) {
    slots += shard.slots.capacity();
  }
  const auto bytes = slots * sizeof(FlowRecord) +
                     shards_.size() * sizeof(Shard) + sizeof(RecordTable);
  return static_cast<double>(bytes) /
         static_cast<double>(max_per_shard_ * shards_.size());
}

}  // namespace hemlockwick
