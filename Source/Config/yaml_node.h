#ifndef HEMLOCKWICK_CONFIG_YAML_NODE_H_
#define HEMLOCKWICK_CONFIG_YAML_NODE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/finding.h"

namespace hemlockwick {

// A node of a YAML document, with its source location.
struct YamlNode {
  enum class Kind { kNull, kScalar, kSequence, kMap };

  Kind kind = Kind::kNull;
  int line = 0;    // From 1.
  int column = 0;  // From 1.
  std::string scalar;
  // The elements of a sequence, or the alternating keys and values of a map.
  std::vector<YamlNode> children;
};

// Maximum nesting depth of a document.
inline constexpr std::size_t kMaxYamlDepth = 16;

// Parses the documents of one file. Parsing ends with a finding at a syntax
// error, an anchor or alias, or a nesting deeper than kMaxYamlDepth; the
// documents before it are returned.
[[nodiscard]] auto ParseYaml(const std::string& text, const std::string& file,
                             Findings& findings) -> std::vector<YamlNode>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_YAML_NODE_H_
