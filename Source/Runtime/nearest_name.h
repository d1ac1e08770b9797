#ifndef HEMLOCKWICK_RUNTIME_NEAREST_NAME_H_
#define HEMLOCKWICK_RUNTIME_NEAREST_NAME_H_

#include <string>
#include <string_view>
#include <vector>

namespace hemlockwick {

// Returns the candidate with the smallest edit distance to `name`; empty when
// there is no candidate.
[[nodiscard]] auto NearestName(std::string_view name,
                               const std::vector<std::string>& candidates)
    -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_NEAREST_NAME_H_
