#include "Runtime/nearest_name.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace hemlockwick {

namespace {

// Levenshtein distance, one row at a time.
auto EditDistance(std::string_view left, std::string_view right)
    -> std::size_t {
  auto row = std::vector<std::size_t>(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (const auto letter : left) {
    auto diagonal = row[0]++;
    for (auto index = std::size_t{1}; index < row.size(); ++index) {
      const auto replaced = diagonal + (letter == right[index - 1] ? 0 : 1);
      diagonal = row[index];
      row[index] = std::min({replaced, diagonal + 1, row[index - 1] + 1});
    }
  }
  return row.back();
}

}  // namespace

auto NearestName(std::string_view name,
                 const std::vector<std::string>& candidates) -> std::string {
  const auto nearest = std::ranges::min_element(
      candidates, {},
      [name](const auto& candidate) { return EditDistance(name, candidate); });
  return nearest == candidates.end() ? std::string() : *nearest;
}

}  // namespace hemlockwick
