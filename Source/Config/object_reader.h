#ifndef HEMLOCKWICK_CONFIG_OBJECT_READER_H_
#define HEMLOCKWICK_CONFIG_OBJECT_READER_H_

#include <string>

#include "Config/objects.h"
#include "Config/yaml_node.h"
#include "Core/finding.h"

namespace hemlockwick {

// Reads objects from YAML files into one set and reports errors within single
// objects. ObjectChecker checks them against one another.
class ObjectReader {
 public:
  // Reads the documents of one file. `file` is the name shown in findings.
  void Read(const std::string& text, const std::string& file);

  // Appends the objects and findings of another reader, as if this one had read
  // its files next.
  void Append(ObjectReader other);

  [[nodiscard]] auto objects() const -> const ObjectSet& { return objects_; }
  [[nodiscard]] auto findings() const -> const Findings& { return findings_; }

  // Whether every document was recognised as an object, valid or not.
  [[nodiscard]] auto is_complete() const -> bool { return is_complete_; }

 private:
  void ReadDocument(const YamlNode& document, const std::string& file);

  ObjectSet objects_;
  Findings findings_;
  bool is_complete_ = true;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_OBJECT_READER_H_
