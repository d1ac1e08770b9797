#include "Core/snapshot_cell.h"

#include <criterion/criterion.h>

#include <memory>

namespace hemlockwick {
namespace {

Test(snapshot_cell, reader_sees_the_newest_snapshot) {
  auto cell = SnapshotCell<int>();
  auto reader = SnapshotReader<int>(cell);
  cr_assert(reader.Get() == nullptr);
  cell.Publish(std::make_shared<const int>(1));
  cr_assert(*reader.Get() == 1);
  cell.Publish(std::make_shared<const int>(2));
  cr_assert(*reader.Get() == 2);
}

}  // namespace
}  // namespace hemlockwick
