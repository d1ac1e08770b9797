#ifndef HEMLOCKWICK_FLOW_FIRST_SEEN_TIMES_H_
#define HEMLOCKWICK_FLOW_FIRST_SEEN_TIMES_H_

#include <cstddef>
#include <unordered_map>

#include "Core/time.h"

namespace hemlockwick {

// For how long each of a bounded number of keys has been seen.
template <typename Key>
class FirstSeenTimes {
 public:
  // A key that is not seen for `max_gap` counts as new when it is seen again.
  explicit FirstSeenTimes(Duration max_gap) : max_gap_(max_gap) {}

  // Records that `key` is seen at `now`. Returns the time since it was first
  // seen; zero for a new key. Forgets all keys when there are too many.
  auto See(const Key& key, TimePoint now) -> Duration {
    return SeeSince(key, now, now);
  }

  // The same; a new key counts as first seen at `first`.
  auto SeeSince(const Key& key, TimePoint first, TimePoint now) -> Duration {
    if (times_.size() >= kMaxKeys && !times_.contains(key)) {
      times_.clear();
    }
    auto& times = times_.try_emplace(key, Times{first, now}).first->second;
    if (now - times.last >= max_gap_) {
      times.first = first;
    }
    times.last = now;
    return now - times.first;
  }

  // Forgets the keys for which `is_obsolete` is true.
  template <typename Predicate>
  void ForgetIf(Predicate&& is_obsolete) {
    std::erase_if(times_, [&is_obsolete](const auto& entry) {
      return is_obsolete(entry.first);
    });
  }

  [[nodiscard]] auto size() const -> std::size_t { return times_.size(); }

  static constexpr std::size_t kMaxKeys = 1024;

 private:
  struct Times {
    TimePoint first;
    TimePoint last;
  };

  const Duration max_gap_;
  std::unordered_map<Key, Times> times_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FIRST_SEEN_TIMES_H_
