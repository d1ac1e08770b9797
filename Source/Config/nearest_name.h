#ifndef HEMLOCKWICK_CONFIG_NEAREST_NAME_H_
#define HEMLOCKWICK_CONFIG_NEAREST_NAME_H_

#include <span>
#include <string>
#include <string_view>

namespace hemlockwick {

// Returns the number of single-character insertions, deletions and
// substitutions that turn one text into the other.
[[nodiscard]] auto EditDistance(std::string_view left, std::string_view right)
    -> std::size_t;

// Returns the candidate with the smallest edit distance to `name`, or an empty
// string if every distance exceeds half the length of `name`.
[[nodiscard]] auto NearestName(std::string_view name,
                               std::span<const std::string> candidates)
    -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_NEAREST_NAME_H_
