#include "Fleet/platform_reader.h"

#include <algorithm>

namespace hemlockwick {

namespace {

// How long the platform may hold a watch before it answers.
constexpr Duration kWatchTime = std::chrono::seconds(10);

// An answer that is overdue by this much counts as lost.
constexpr Duration kAnswerTimeout = std::chrono::seconds(2);

// Shortest time between two reads of a value; faster changes are read together.
constexpr Duration kMinIndexReadInterval = std::chrono::milliseconds(500);
constexpr Duration kMinListReadInterval = std::chrono::seconds(1);

// Delay after a failed call, doubled with each further failure.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(250);
constexpr std::uint32_t kMaxBackoffDoublings = 5;

// Consecutive failed reads of a value after which the platform counts as lost.
constexpr std::uint32_t kFailuresUntilLost = 2;

// When no reader of the data centre has had an answer for
// kReaderSilenceTimeout, the other instances read the platform directly. Each
// waits kDirectReadInterval times the number of members on average, but at
// least kMinDirectReadInterval, so that the load does not grow with their
// number.
constexpr Duration kReaderSilenceTimeout = std::chrono::seconds(15);
constexpr Duration kDirectReadInterval = std::chrono::seconds(1);
constexpr Duration kMinDirectReadInterval = std::chrono::seconds(2);

// How often an instance checks whether it has become a reader.
constexpr Duration kRoleCheckInterval = std::chrono::milliseconds(500);

constexpr std::size_t kMaxOutstandingShards = 8;

}  // namespace

PlatformReader::PlatformReader(NodeState& state, TimePoint now)
    : state_(state), next_role_check_(now) {
  index_.key = kIndexKey;
  index_.min_interval = kMinIndexReadInterval;
  list_.key = kInstanceListKey;
  list_.min_interval = kMinListReadInterval;
  index_.next_read = now;
  list_.next_read = now;
}

void PlatformReader::OnTick(TimePoint now) {
  if (now >= next_role_check_) {
    next_role_check_ = now + kRoleCheckInterval;
    const auto is_reader = state_.members.IsReader(kReadersPerDataCentre);
    const auto is_silent = IsReaderSilent(now);
    for (auto* value : {&index_, &list_}) {
      const auto is_due_now = is_reader && !was_reader_;
      const auto is_idle = value->next_read == TimePoint::max();
      if (is_due_now || (is_silent && is_idle)) {
        Schedule(*value, now);
      }
    }
    was_reader_ = is_reader;
  }
  for (auto* value : {&index_, &list_}) {
    if (value->is_outstanding && now >= value->answer_due) {
      RecordFailure(*value, now);
    }
    if (!value->is_outstanding && now >= value->next_read) {
      Read(*value, was_reader_, now);
    }
  }
}

auto PlatformReader::NextTick() const -> TimePoint {
  auto next = next_role_check_;
  for (const auto* value : {&index_, &list_}) {
    next = std::min(
        next, value->is_outstanding ? value->answer_due : value->next_read);
  }
  return next;
}

auto PlatformReader::OnAnswer(const PlatformAnswer& answer, TimePoint now)
    -> bool {
  const auto is_reached = answer.status != PlatformStatus::kUnreachable;
  if (is_reached) {
    state_.last_platform_answer = now;
  }
  for (auto* value : {&index_, &list_}) {
    if (value->key != answer.key) {
      continue;
    }
    if (!value->is_outstanding) {
      return true;
    }
    if (is_reached) {
      RecordSuccess(*value, answer, now);
    } else {
      RecordFailure(*value, now);
    }
    return true;
  }
  return outstanding_shards_.erase(answer.key) != 0;
}

void PlatformReader::ReadShards(const std::vector<std::string>& keys,
                                TimePoint now) {
  if (now >= shard_answers_due_) {
    outstanding_shards_.clear();
  }
  for (const auto& key : keys) {
    if (outstanding_shards_.size() >= kMaxOutstandingShards) {
      return;
    }
    if (outstanding_shards_.insert(key).second) {
      shard_answers_due_ = now + kAnswerTimeout;
      state_.outbox.Read(PlatformRead{key, 0, Duration(0)}, now);
    }
  }
}

void PlatformReader::OnPause(TimePoint now) {
  for (auto* value : {&index_, &list_}) {
    value->is_outstanding = false;
    Schedule(*value, now);
  }
}

void PlatformReader::Read(WatchedValue& value, bool as_reader, TimePoint now) {
  const auto wait = as_reader && value.after != 0 && value.failures == 0
                        ? kWatchTime
                        : Duration(0);
  value.is_outstanding = true;
  value.answer_due = now + wait + kAnswerTimeout;
  value.next_read = now + value.min_interval;
  state_.outbox.Read(PlatformRead{value.key, value.after, wait}, now);
}

void PlatformReader::RecordFailure(WatchedValue& value, TimePoint now) {
  value.is_outstanding = false;
  ++value.failures;
  if (value.failures == kFailuresUntilLost && !is_platform_lost_) {
    is_platform_lost_ = true;
    state_.events.Record(EventKind::kPlatformLost,
                         std::string(kPlatformSubject), value.key, now);
  }
  Schedule(value, now);
}

void PlatformReader::RecordSuccess(WatchedValue& value,
                                   const PlatformAnswer& answer,
                                   TimePoint now) {
  value.is_outstanding = false;
  value.failures = 0;
  // The index may be lower than before when the platform was restored from a
  // backup.
  value.after = answer.index;
  if (is_platform_lost_) {
    is_platform_lost_ = false;
    state_.events.Record(EventKind::kPlatformBack,
                         std::string(kPlatformSubject), value.key, now);
    EndBackoff(now);
  }
  Schedule(value, now);
}

// Ends the backoff of both values after one of them has been answered.
void PlatformReader::EndBackoff(TimePoint now) {
  for (auto* value : {&index_, &list_}) {
    if (value->failures > 0) {
      value->failures = 0;
      value->next_read = now + state_.random.Jitter(value->min_interval);
    }
  }
}

// Sets the time of the next read.
void PlatformReader::Schedule(WatchedValue& value, TimePoint now) {
  const auto is_reader = state_.members.IsReader(kReadersPerDataCentre);
  if (value.failures > 0) {
    const auto doublings = std::min(value.failures - 1, kMaxBackoffDoublings);
    const auto mean = kFirstBackoff * (1U << doublings);
    if (is_reader || value.after == 0) {
      value.next_read = now + state_.random.Jitter(mean);
      return;
    }
  }
  if (is_reader) {
    const auto pause = value.after == 0
                           ? state_.random.Jitter(value.min_interval)
                           : Duration(0);
    value.next_read = std::max(now + pause, value.next_read);
    if (value.next_read == TimePoint::max()) {
      value.next_read = now;
    }
    return;
  }
  if (!IsReaderSilent(now)) {
    value.next_read = TimePoint::max();
    return;
  }
  const auto members = static_cast<Duration::rep>(state_.members.LocalCount());
  const auto mean =
      std::max(kMinDirectReadInterval, kDirectReadInterval * members);
  value.next_read = now + state_.random.Exponential(mean);
}

auto PlatformReader::IsReaderSilent(TimePoint now) const -> bool {
  return now - state_.last_platform_answer > kReaderSilenceTimeout;
}

}  // namespace hemlockwick
