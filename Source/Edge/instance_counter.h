#ifndef HEMLOCKWICK_EDGE_INSTANCE_COUNTER_H_
#define HEMLOCKWICK_EDGE_INSTANCE_COUNTER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// Instances counted by one that others watch or report to.
struct InstanceCount {
  InstanceId instance;
  // The instance itself and all that watch it, directly or not. 0 in the report
  // of an instance that is no root any more.
  std::uint32_t instances = 1;
};

// Upper bound of what one instance may report.
inline constexpr std::uint32_t kMaxInstances = 1'000'000;

// Counts the instances of the fleet. Each instance tells the relay that it
// watches the size of its subtree; the roots, which watch the platform, tell
// theirs to the seeds, and the seeds add them up. The total comes down with the
// directory. Any error is to count too many instances, if possible: the total
// divides what the instances may do together. Runs on the control thread.
class InstanceCounter {
 public:
  // `is_seed`: whether other instances report to this one as a seed.
  InstanceCounter(bool is_seed, TimePoint now);

  // Records the call of a watcher that this instance serves.
  void OnWatcher(const InstanceCount& watcher, TimePoint now);

  // Records the report of another root.
  void OnRoot(const InstanceCount& root, TimePoint now);

  // Records the total that the relay above has sent.
  void OnTotal(std::uint32_t total, TimePoint now);

  // To be called often. `has_parent`: whether this instance watches a relay,
  // and not the platform.
  void OnTick(bool has_parent, TimePoint now);

  // This instance and all that watch it, directly or not.
  [[nodiscard]] auto Subtree(TimePoint now) const -> std::uint32_t;

  // The total to send to watchers; nullopt while none is known.
  [[nodiscard]] auto total() const -> std::optional<std::uint32_t> {
    return total_;
  }

  // The number of instances to assume: the highest total of the last minute, so
  // that a tree that breaks up does not lower it, or the last one known. Before
  // that kUnknownInstances.
  [[nodiscard]] auto Assumed() const -> std::uint32_t;

  // The size of the subtree to report to the seeds now, as a root; nullopt when
  // there is nothing to report.
  auto TakeRootReport(TimePoint now) -> std::optional<std::uint32_t>;

 private:
  struct Heard {
    std::uint32_t instances = 0;
    TimePoint at;
  };
  using HeardOf = std::unordered_map<InstanceId, Heard>;

  static auto SumOf(const HeardOf& heard, Duration lifetime, TimePoint now)
      -> std::uint32_t;
  void Record(std::uint32_t total, TimePoint now);

  const bool is_seed_;
  const TimePoint started_;
  HeardOf watchers_;
  HeardOf roots_;
  std::optional<std::uint32_t> total_;
  // Totals of the last minute that no later one exceeds.
  std::deque<Heard> highest_;
  bool has_parent_ = false;
  TimePoint had_parent_;  // Last time.
  TimePoint next_report_;
  std::uint32_t withdrawals_ = 0;  // To be sent.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_INSTANCE_COUNTER_H_
