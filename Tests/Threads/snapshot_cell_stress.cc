// Publishes snapshots from one thread while others read them. Exits 1 when a
// reader sees an older snapshot after a newer one.
#include <atomic>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include "Core/snapshot_cell.h"

namespace {

constexpr int kLast = 20'000;
constexpr int kReaders = 3;

void Read(const hemlockwick::SnapshotCell<int>& cell,
          std::atomic<bool>& saw_older_snapshot) {
  auto reader = hemlockwick::SnapshotReader<int>(cell);
  auto previous = 0;
  while (previous < kLast) {
    const auto current = *reader.Get();
    if (current < previous) {
      saw_older_snapshot = true;
    }
    previous = current;
  }
}

}  // namespace

auto main() -> int {
  auto cell = hemlockwick::SnapshotCell<int>();
  cell.Publish(std::make_shared<const int>(0));
  auto saw_older_snapshot = std::atomic<bool>(false);
  auto readers = std::vector<std::thread>();
  for (auto reader = 0; reader < kReaders; ++reader) {
    readers.emplace_back(
        [&cell, &saw_older_snapshot] { Read(cell, saw_older_snapshot); });
  }
  for (auto value = 1; value <= kLast; ++value) {
    cell.Publish(std::make_shared<const int>(value));
  }
  for (auto& reader : readers) {
    reader.join();
  }
  return saw_older_snapshot ? EXIT_FAILURE : EXIT_SUCCESS;
}
