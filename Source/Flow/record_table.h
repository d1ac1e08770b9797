#ifndef HEMLOCKWICK_FLOW_RECORD_TABLE_H_
#define HEMLOCKWICK_FLOW_RECORD_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// The endpoint that owns a flow. Never changes while the flow lives.
struct FlowRecord {
  FlowKey flow;
  ServiceId service;
  EndpointId endpoint;
  std::uint32_t opened_seconds = 0;     // Unix time.
  std::uint32_t last_seen_seconds = 0;  // Unix time.
  // Unix time at which the flow was seen to close; 0 while it is open.
  std::uint32_t closed_seconds = 0;
  bool used = false;
};

// Seconds since the Unix epoch.
[[nodiscard]] constexpr auto ToUnixSeconds(TimePoint time) -> std::uint32_t {
  constexpr auto kMillisPerSecond = 1000;
  return static_cast<std::uint32_t>(ToUnixMillis(time) / kMillisPerSecond);
}

// Flow records in a fixed amount of memory, in shards with a lock each; a small
// table has few shards. Open addressing with linear probing and backward shift
// on removal.
class RecordTable {
 public:
  explicit RecordTable(std::size_t max_records);

  [[nodiscard]] auto Find(FlowKey flow) const -> std::optional<FlowRecord>;

  // Updates the record for a packet of the flow. Returns the record as it was
  // before, or nothing if there is none.
  auto Touch(FlowKey flow, bool closes, TimePoint now)
      -> std::optional<FlowRecord>;

  // Adds or replaces a record. Returns false when the shard is full.
  auto Put(const FlowRecord& record) -> bool;

  void Remove(FlowKey flow);

  // Whether new flows should do without a record where possible, so that there
  // is room for the records that the other homes have made.
  [[nodiscard]] auto IsNearlyFull(FlowKey flow) const -> bool;

  // Removes the records for which `ended` holds; returns their number.
  auto RemoveIf(const std::function<bool(const FlowRecord&)>& ended)
      -> std::size_t;

  // Calls `visit` for every record. It must not call back into the table.
  void ForEach(const std::function<void(const FlowRecord&)>& visit) const;

  [[nodiscard]] auto size() const -> std::size_t;

  // Bytes of memory per record, when the table is full.
  [[nodiscard]] auto bytes_per_record() const -> double;

 private:
  struct Shard {
    mutable std::mutex mutex;
    std::vector<FlowRecord> slots;
    std::size_t used = 0;
  };

  [[nodiscard]] auto ShardIndexOf(FlowKey flow) const -> std::size_t;
  auto ShardOf(FlowKey flow) const -> const Shard&;
  auto ShardOf(FlowKey flow) -> Shard&;
  static auto HomeSlot(const Shard& shard, FlowKey flow) -> std::size_t;
  static auto Locate(const Shard& shard, FlowKey flow) -> std::size_t;
  static void Erase(Shard& shard, std::size_t slot);

  std::vector<Shard> shards_;  // Their number is a power of two.
  std::size_t max_per_shard_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_RECORD_TABLE_H_
