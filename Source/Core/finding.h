#ifndef HEMLOCKWICK_CORE_FINDING_H_
#define HEMLOCKWICK_CORE_FINDING_H_

#include <compare>
#include <string>
#include <vector>

namespace hemlockwick {

// Position in an input file. Line and column start at 1; 0 means unknown.
struct SourceLocation {
  std::string file;
  int line = 0;
  int column = 0;

  friend auto operator<=>(const SourceLocation&, const SourceLocation&)
      -> std::strong_ordering = default;
};

enum class Severity { kWarning, kError };

// One problem that a check found, with its location and a remedy.
struct Finding {
  Severity severity = Severity::kError;
  SourceLocation location;
  std::string object;   // Kind and name, for example "service rollfloor".
  std::string problem;  // What is wrong.
  std::string remedy;   // What to do about it.
};

using Findings = std::vector<Finding>;

[[nodiscard]] auto HasErrors(const Findings& findings) -> bool;

// Returns "file:line:column: error: object: problem; remedy".
[[nodiscard]] auto ToString(const Finding& finding) -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_FINDING_H_
