#ifndef HEMLOCKWICK_CONFIG_YAML_NODE_H_
#define HEMLOCKWICK_CONFIG_YAML_NODE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/finding.h"

namespace hemlockwick {

// One node of a YAML document, with its place.
struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  int line = 0;    // From 1.
  int column = 0;  // From 1.
  std::string scalar;
  // The elements of a sequence, or a map's keys and values in turn.
  std::vector<YamlNode> children;
};

// Deepest nesting that a document may have.
inline constexpr std::size_t kMaxYamlDepth = 16;

// Parses the documents of one file. A syntax error, an alias or a nesting
// deeper than kMaxYamlDepth becomes a finding and ends the file; the documents
// before it are returned.
[[nodiscard]] auto ParseYaml(const std::string& text, const std::string& file,
                             Findings& findings) -> std::vector<YamlNode>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_YAML_NODE_H_
