#include "Request/caller_queue.h"

#include <chrono>
#include <iterator>

namespace hemlockwick {

namespace {

constexpr double kQuantum = 1;
// Window over which a caller's served requests count as its usage.
constexpr Duration kUsageWindow = std::chrono::seconds(5);
constexpr double kUsageWindowSeconds = 5;
constexpr std::size_t kMaxTrackedCallers = 4096;
constexpr Duration kForgetInterval = std::chrono::seconds(5);
constexpr double kIdleCallerRate = 0.01;  // Served requests per second.

}  // namespace

void CallerQueue::Push(const WaitingRequest& waiting, bool keep_turn) {
  auto [found, added] = callers_.try_emplace(waiting.caller);
  auto& caller = found->second;
  if (added) {
    caller.turn = keep_turn ? turns_.insert(turns_.begin(), waiting.caller)
                            : turns_.insert(turns_.end(), waiting.caller);
  } else if (keep_turn) {
    turns_.splice(turns_.begin(), turns_, caller.turn);
  }
  if (keep_turn) {
    caller.deficit += waiting.cost;
  }
  const auto key = QueueKey(waiting.deadline, waiting.request);
  if (caller.waiting.try_emplace(key, waiting).second) {
    ++size_;
  }
}

auto CallerQueue::Next() -> const WaitingRequest* {
  if (turns_.empty()) {
    return nullptr;
  }
  while (true) {
    auto& caller = callers_.at(turns_.front());
    const auto& head = caller.waiting.begin()->second;
    if (caller.deficit >= head.cost || turns_.size() == 1) {
      return &head;
    }
    caller.deficit += kQuantum;
    if (caller.deficit >= head.cost) {
      return &head;
    }
    turns_.splice(turns_.end(), turns_, turns_.begin());
  }
}

void CallerQueue::PopNext(TimePoint now) {
  const auto found = callers_.find(turns_.front());
  auto& caller = found->second;
  const auto cost = caller.waiting.begin()->second.cost;
  caller.deficit = caller.deficit > cost ? caller.deficit - cost : 0;
  served_.try_emplace(found->first, kUsageWindow).first->second.Add(cost, now);
  if (caller.deficit < kQuantum) {
    turns_.splice(turns_.end(), turns_, caller.turn);
  }
  Erase(found, caller.waiting.begin());
  ForgetIdleCallers(now);
}

auto CallerQueue::Remove(const WaitingRequest& waiting) -> bool {
  const auto caller = callers_.find(waiting.caller);
  if (caller == callers_.end()) {
    return false;
  }
  const auto entry =
      caller->second.waiting.find(QueueKey(waiting.deadline, waiting.request));
  if (entry == caller->second.waiting.end()) {
    return false;
  }
  Erase(caller, entry);
  return true;
}

auto CallerQueue::SelectVictim(TimePoint now) const
    -> std::optional<WaitingRequest> {
  auto most = 0.0;
  const Caller* victim = nullptr;
  for (const auto& [id, candidate] : callers_) {
    const auto usage = Usage(id, candidate.waiting.size(), now);
    if (usage > most) {
      most = usage;
      victim = &candidate;
    }
  }
  if (victim == nullptr) {
    return std::nullopt;
  }
  return std::prev(victim->waiting.end())->second;
}

auto CallerQueue::Usage(CallerId caller, std::size_t waiting,
                        TimePoint now) const -> double {
  const auto found = served_.find(caller);
  const auto served = found == served_.end() ? 0 : found->second.PerSecond(now);
  return served * kUsageWindowSeconds + static_cast<double>(waiting);
}

void CallerQueue::Erase(std::unordered_map<CallerId, Caller>::iterator caller,
                        std::map<QueueKey, WaitingRequest>::iterator entry) {
  caller->second.waiting.erase(entry);
  --size_;
  if (caller->second.waiting.empty()) {
    turns_.erase(caller->second.turn);
    callers_.erase(caller);
  }
}

void CallerQueue::ForgetIdleCallers(TimePoint now) {
  if (served_.size() <= kMaxTrackedCallers || now < next_forget_) {
    return;
  }
  next_forget_ = now + kForgetInterval;
  std::erase_if(served_, [now](const auto& entry) {
    return entry.second.PerSecond(now) < kIdleCallerRate;
  });
}

}  // namespace hemlockwick
