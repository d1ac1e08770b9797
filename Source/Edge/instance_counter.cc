#include "Edge/instance_counter.h"

#include <algorithm>

#include "Flow/cold_start_limiter.h"

namespace hemlockwick {

namespace {

// Time for which the highest total counts.
constexpr Duration kTotalLifetime = std::chrono::seconds(60);

// A watcher counts for this long after its last call; longer than a watch.
constexpr Duration kWatcherLifetime = std::chrono::seconds(3);

// Another root counts for this long after its last report. Long, because one
// that is partitioned from this instance still serves callers.
constexpr Duration kRootLifetime = std::chrono::minutes(10);

// A seed tells no total before it has run for this long. When a fleet starts at
// once, its instances need half a minute to find their relays.
constexpr Duration kSettleTime = std::chrono::seconds(30);

// An instance without a relay above reports to the seeds after this time, and
// then at this interval. Instances that start or change their relay are without
// one for less.
constexpr Duration kRootDelay = std::chrono::seconds(3);
constexpr Duration kReportInterval = std::chrono::seconds(1);

// How often an instance reports that it is no root any more: reports may be
// lost.
constexpr std::uint32_t kWithdrawals = 3;

// Limits the memory: watchers or roots.
constexpr std::size_t kMaxHeard = 4096;

template <typename Heard>
void Store(Heard& heard, const InstanceCount& count, TimePoint now) {
  if (heard.size() < kMaxHeard || heard.contains(count.instance)) {
    heard[count.instance] = {std::min(count.instances, kMaxInstances), now};
  }
}

template <typename Heard>
void RemoveExpired(Heard& heard, Duration lifetime, TimePoint now) {
  std::erase_if(heard, [lifetime, now](const auto& entry) {
    return now - entry.second.at >= lifetime;
  });
}

}  // namespace

InstanceCounter::InstanceCounter(bool is_seed, TimePoint now)
    : is_seed_(is_seed), started_(now), had_parent_(now) {}

void InstanceCounter::OnWatcher(const InstanceCount& watcher, TimePoint now) {
  Store(watchers_, watcher, now);
}

void InstanceCounter::OnRoot(const InstanceCount& root, TimePoint now) {
  if (root.instances == 0) {
    roots_.erase(root.instance);
  } else {
    Store(roots_, root, now);
  }
}

void InstanceCounter::OnTotal(std::uint32_t total, TimePoint now) {
  total_ = std::clamp(total, std::uint32_t{1}, kMaxInstances);
  Record(*total_, now);
}

// A root that is no seed hears of no other root: it keeps the total that it has
// received last.
void InstanceCounter::OnTick(bool has_parent, TimePoint now) {
  RemoveExpired(watchers_, kWatcherLifetime, now);
  RemoveExpired(roots_, kRootLifetime, now);
  has_parent_ = has_parent;
  if (has_parent) {
    had_parent_ = now;
  } else if (is_seed_ && now - started_ >= kSettleTime) {
    OnTotal(Subtree(now) + SumOf(roots_, kRootLifetime, now), now);
  }
}

auto InstanceCounter::Subtree(TimePoint now) const -> std::uint32_t {
  return 1 + SumOf(watchers_, kWatcherLifetime, now);
}

auto InstanceCounter::SumOf(const HeardOf& heard, Duration lifetime,
                            TimePoint now) -> std::uint32_t {
  auto sum = std::uint32_t{0};
  for (const auto& [instance, each] : heard) {
    if (now - each.at < lifetime) {
      sum = std::min(sum + each.instances, kMaxInstances);
    }
  }
  return sum;
}

void InstanceCounter::Record(std::uint32_t total, TimePoint now) {
  while (!highest_.empty() && highest_.back().instances <= total) {
    highest_.pop_back();
  }
  highest_.push_back({total, now});
  while (now - highest_.front().at >= kTotalLifetime) {
    highest_.pop_front();
  }
}

auto InstanceCounter::Assumed() const -> std::uint32_t {
  return highest_.empty() ? kUnknownInstances : highest_.front().instances;
}

auto InstanceCounter::TakeRootReport(TimePoint now)
    -> std::optional<std::uint32_t> {
  const auto is_root = !has_parent_ && now - had_parent_ >= kRootDelay;
  if (now < next_report_ || (!is_root && withdrawals_ == 0)) {
    return std::nullopt;
  }
  next_report_ = now + kReportInterval;
  if (is_root) {
    withdrawals_ = kWithdrawals;
    return Subtree(now);
  }
  --withdrawals_;
  return 0;
}

}  // namespace hemlockwick
