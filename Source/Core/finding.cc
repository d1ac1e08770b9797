#include "Core/finding.h"

#include <algorithm>

namespace hemlockwick {

auto HasErrors(const Findings& findings) -> bool {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) {
                       return finding.severity == Severity::kError;
                     });
}

auto ToString(const Finding& finding) -> std::string {
  auto text = finding.location.file + ":" +
              std::to_string(finding.location.line) + ":" +
              std::to_string(finding.location.column) + ": ";
  text += finding.severity == Severity::kError ? "error: " : "warning: ";
  if (!finding.object.empty()) {
    text += finding.object + ": ";
  }
  text += finding.problem;
  if (!finding.remedy.empty()) {
    text += "; " + finding.remedy;
  }
  return text;
}

}  // namespace hemlockwick
