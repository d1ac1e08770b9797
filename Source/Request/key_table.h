#ifndef HEMLOCKWICK_REQUEST_KEY_TABLE_H_
#define HEMLOCKWICK_REQUEST_KEY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Core/ids.h"
#include "Core/time.h"
#include "Request/request_message.h"

namespace hemlockwick {

// Claims that an instance stores as a home of their keys. The size is bounded:
// when the table is full, new claims are refused and no entry is removed before
// it expires.
class KeyTable {
 public:
  explicit KeyTable(std::size_t max_entries) : max_entries_(max_entries) {}

  // Records the claim unless another request holds the key, and returns the
  // state that the key had. `knows_all_claims` tells whether every earlier
  // claim of the key would be known here; if not, a key that could be granted
  // yields kAbstained. Returns nothing if the claim is too late or a duplicate
  // of a settled one, or if the table is full and `knows_all_claims` is false.
  auto Claim(InstanceId claimant, const KeyClaim& claim, bool knows_all_claims,
             TimePoint now) -> std::optional<KeyState>;

  // Records how a claimed request ended. Ignored if another request holds the
  // key by now.
  void Settle(InstanceId claimant, const KeySettled& settled, TimePoint now);

  // The entries whose keys satisfy `wanted`, for a hand-over.
  [[nodiscard]] auto Export(const std::function<bool(IdempotencyKey)>& wanted)
      const -> std::vector<KeyHandOver::Entry>;

  // Adds entries of a hand-over. Of two entries for one key the stricter one
  // stays. Returns false if the table was too full for an entry.
  auto Import(const std::vector<KeyHandOver::Entry>& entries, TimePoint now)
      -> bool;

  // Removes the entries that have expired.
  void Expire(TimePoint now);

  // Text of the entries for diagnostics. Equal contents have equal texts.
  [[nodiscard]] auto Describe() const -> std::string;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
  // Number of claims that were not recorded because the table was full.
  [[nodiscard]] auto refused() const -> std::uint64_t { return refused_; }

 private:
  using Entry = KeyHandOver::Entry;

  auto Find(IdempotencyKey key, TimePoint now) -> Entry*;
  void Insert(const Entry& entry);
  void Remove(IdempotencyKey key);
  auto HasCapacity(TimePoint now) -> bool;

  std::size_t max_entries_;
  std::unordered_map<IdempotencyKey, Entry> entries_;
  std::set<std::pair<TimePoint, IdempotencyKey>> by_expiry_;
  std::uint64_t refused_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_KEY_TABLE_H_
