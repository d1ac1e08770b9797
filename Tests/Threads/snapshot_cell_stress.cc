// Publishes snapshots from one thread while others read. Exits 1 when a reader
// sees a snapshot older than one it saw before.
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
          std::atomic<bool>& went_back) {
  auto reader = hemlockwick::SnapshotReader<int>(cell);
  auto previous = 0;
  while (previous < kLast) {
    const auto current = *reader.Get();
    if (current < previous) {
      went_back = true;
    }
    previous = current;
  }
}

}  // namespace

auto main() -> int {
  auto cell = hemlockwick::SnapshotCell<int>();
  cell.Publish(std::make_shared<const int>(0));
  auto went_back = std::atomic<bool>(false);
  auto readers = std::vector<std::thread>();
  for (auto reader = 0; reader < kReaders; ++reader) {
    readers.emplace_back([&cell, &went_back] { Read(cell, went_back); });
  }
  for (auto value = 1; value <= kLast; ++value) {
    cell.Publish(std::make_shared<const int>(value));
  }
  for (auto& reader : readers) {
    reader.join();
  }
  return went_back ? EXIT_FAILURE : EXIT_SUCCESS;
}
