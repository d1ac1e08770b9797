#ifndef HEMLOCKWICK_CORE_SNAPSHOT_CELL_H_
#define HEMLOCKWICK_CORE_SNAPSHOT_CELL_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace hemlockwick {

// Holds the current immutable snapshot of control state. The control thread
// publishes snapshots; traffic threads read them through a SnapshotReader.
template <typename T>
class SnapshotCell {
 public:
  void Publish(std::shared_ptr<const T> next) {
    const std::lock_guard lock(mutex_);
    current_ = std::move(next);
    generation_.fetch_add(1, std::memory_order_release);
  }

  [[nodiscard]] auto Load() const -> std::shared_ptr<const T> {
    const std::lock_guard lock(mutex_);
    return current_;
  }

  [[nodiscard]] auto generation() const -> std::uint64_t {
    return generation_.load(std::memory_order_acquire);
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const T> current_;
  std::atomic<std::uint64_t> generation_{0};
};

// A traffic thread's reader of a SnapshotCell. While nothing has been
// published, a read costs one atomic load.
template <typename T>
class SnapshotReader {
 public:
  explicit SnapshotReader(const SnapshotCell<T>& cell) : cell_(cell) {}

  // Returns the current snapshot, or null before the first publication. The
  // pointer stays valid until the next call.
  auto Get() -> const T* {
    const auto generation = cell_.generation();
    if (generation != seen_) {
      cached_ = cell_.Load();
      seen_ = generation;
    }
    return cached_.get();
  }

 private:
  const SnapshotCell<T>& cell_;
  std::shared_ptr<const T> cached_;
  std::uint64_t seen_ = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_SNAPSHOT_CELL_H_
