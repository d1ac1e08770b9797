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

// What an instance remembers of the keys that it is a home of. Bounded: when
// it is full, new claims are refused and no entry is forgotten before its
// time.
class KeyTable {
 public:
  explicit KeyTable(std::size_t max_entries) : max_entries_(max_entries) {}

  // Notes the claim unless another request holds the key, and returns where
  // the key stood. `knows_all_claims` tells whether every earlier claim of the
  // key would be known here; without it a free key yields kAbstained. Returns
  // nothing when the claim came too late, or found no room and this home
  // cannot vouch for the key.
  auto Claim(InstanceId claimant, const KeyClaim& claim, bool knows_all_claims,
             TimePoint now) -> std::optional<KeyState>;

  // Notes how a claimed request ended. Ignored when another request holds the
  // key by now.
  void Settle(InstanceId claimant, const KeySettled& settled, TimePoint now);

  // The entries for which `wanted` holds, for a hand-over.
  [[nodiscard]] auto Export(const std::function<bool(IdempotencyKey)>& wanted)
      const -> std::vector<KeyHandOver::Entry>;

  // Takes over entries. Of two entries for one key the one that grants less
  // stays. Returns whether there was room for all.
  auto Import(const std::vector<KeyHandOver::Entry>& entries, TimePoint now)
      -> bool;

  // Forgets entries whose time has passed.
  void Expire(TimePoint now);

  // Text of the entries, for diagnosis; equal for equal contents.
  [[nodiscard]] auto Describe() const -> std::string;

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }
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
