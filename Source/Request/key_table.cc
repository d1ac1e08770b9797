#include "Request/key_table.h"

#include <algorithm>
#include <sstream>

namespace hemlockwick {

namespace {

// The state that a home reports. An attempt whose deadline has passed without a
// settlement from its claimant may have run.
auto StateOf(const KeyHandOver::Entry& entry, TimePoint now) -> KeyState {
  const auto is_over = entry.deadline + kMaxClockSkew <= now;
  if (entry.state == KeyState::kRunning && is_over) {
    return KeyState::kUnknown;
  }
  return entry.state;
}

// How much an entry restricts later claims.
auto Strictness(KeyState state) -> int {
  switch (state) {
    case KeyState::kRunning:
    case KeyState::kAnswered:
      return 2;
    case KeyState::kUnknown:
      return 1;
    default:
      return 0;
  }
}

}  // namespace

auto KeyTable::Claim(InstanceId claimant, const KeyClaim& claim,
                     bool knows_all_claims, TimePoint now)
    -> std::optional<KeyState> {
  if (claim.deadline + kMaxClockSkew <= now) {
    return std::nullopt;
  }
  const auto granted = [knows_all_claims](KeyState state) {
    return knows_all_claims ? state : KeyState::kAbstained;
  };
  const auto entry =
      Entry{claim.key,          claimant,       claim.request,
            KeyState::kRunning, claim.deadline, now + claim.memory};
  const auto* const held = Find(claim.key, now);
  if (held == nullptr) {
    if (!HasCapacity(now)) {
      ++refused_;
      return knows_all_claims ? std::optional(KeyState::kRefused)
                              : std::nullopt;
    }
    Insert(entry);
    return granted(KeyState::kFree);
  }
  const auto is_holder =
      held->claimant == claimant && held->request == claim.request;
  if (is_holder && held->state == KeyState::kRunning) {
    return granted(KeyState::kFree);
  }
  if (is_holder) {
    // A delayed duplicate of a claim that its claimant has settled.
    return std::nullopt;
  }
  if (held->state != KeyState::kNotRun) {
    return StateOf(*held, now);
  }
  Remove(claim.key);
  Insert(entry);
  return granted(KeyState::kNotRun);
}

void KeyTable::Settle(InstanceId claimant, const KeySettled& settled,
                      TimePoint now) {
  const auto* const held = Find(settled.key, now);
  if (held == nullptr || held->claimant != claimant ||
      held->request != settled.request || held->state != KeyState::kRunning) {
    return;
  }
  auto entry = *held;
  entry.state = settled.state;
  if (entry.state == KeyState::kNotRun) {
    // Kept only as long as delayed duplicates of the claim are accepted.
    entry.expires = entry.deadline + 2 * kMaxClockSkew;
  }
  Remove(settled.key);
  Insert(entry);
}

auto KeyTable::Export(const std::function<bool(IdempotencyKey)>& wanted) const
    -> std::vector<KeyHandOver::Entry> {
  auto exported = std::vector<KeyHandOver::Entry>();
  for (const auto& [expires, key] : by_expiry_) {
    if (wanted(key)) {
      exported.push_back(entries_.at(key));
    }
  }
  return exported;
}

auto KeyTable::Import(const std::vector<KeyHandOver::Entry>& entries,
                      TimePoint now) -> bool {
  auto had_capacity = true;
  for (const auto& entry : entries) {
    const auto* const held = Find(entry.key, now);
    if (held != nullptr && Strictness(held->state) >= Strictness(entry.state)) {
      continue;
    }
    if (held != nullptr) {
      Remove(entry.key);
    }
    if (entry.expires > now && HasCapacity(now)) {
      Insert(entry);
    } else if (entry.expires > now) {
      had_capacity = false;
    }
  }
  return had_capacity;
}

void KeyTable::Expire(TimePoint now) {
  while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
    entries_.erase(by_expiry_.begin()->second);
    by_expiry_.erase(by_expiry_.begin());
  }
}

auto KeyTable::Describe() const -> std::string {
  auto text = std::ostringstream();
  for (const auto& [expires, key] : by_expiry_) {
    const auto& entry = entries_.at(key);
    text << key.value() << ":" << entry.claimant.value() << "/"
         << entry.request.value() << "=" << static_cast<int>(entry.state) << "@"
         << ToUnixMillis(entry.deadline) << "-" << ToUnixMillis(expires) << ";";
  }
  return text.str();
}

auto KeyTable::Find(IdempotencyKey key, TimePoint now) -> Entry* {
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    return nullptr;
  }
  if (found->second.expires <= now) {
    Remove(key);
    return nullptr;
  }
  return &found->second;
}

void KeyTable::Insert(const Entry& entry) {
  entries_[entry.key] = entry;
  by_expiry_.emplace(entry.expires, entry.key);
}

void KeyTable::Remove(IdempotencyKey key) {
  const auto found = entries_.find(key);
  by_expiry_.erase({found->second.expires, key});
  entries_.erase(found);
}

auto KeyTable::HasCapacity(TimePoint now) -> bool {
  if (entries_.size() >= max_entries_) {
    Expire(now);
  }
  return entries_.size() < max_entries_;
}

}  // namespace hemlockwick
