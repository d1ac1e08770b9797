#include "Config/nearest_name.h"

#include <algorithm>
#include <numeric>
#include <vector>

namespace hemlockwick {

auto EditDistance(std::string_view left, std::string_view right)
    -> std::size_t {
  auto row = std::vector<std::size_t>(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    auto diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const auto substitution = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({substitution, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

auto NearestName(std::string_view name, std::span<const std::string> candidates)
    -> std::string {
  auto nearest = std::string();
  auto smallest = name.size() / 2 + 1;
  for (const auto& candidate : candidates) {
    const auto distance = EditDistance(name, candidate);
    if (distance < smallest) {
      smallest = distance;
      nearest = candidate;
    }
  }
  return nearest;
}

}  // namespace hemlockwick
