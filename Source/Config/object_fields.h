#ifndef HEMLOCKWICK_CONFIG_OBJECT_FIELDS_H_
#define HEMLOCKWICK_CONFIG_OBJECT_FIELDS_H_

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Config/objects.h"
#include "Config/yaml_node.h"
#include "Core/finding.h"

namespace hemlockwick {

// The values that a field accepts.
template <typename T>
struct Range {
  T min;
  T max;
};

// Reads the fields of one object from a YAML map. Each reader returns nothing
// when the field is absent, or when it is wrong and a finding was added.
class ObjectFields {
 public:
  // Both references must outlive the reader.
  ObjectFields(const YamlNode& map, std::string file, Findings& findings);

  // Names the object in the findings that follow.
  void SetObjectName(std::string object) { object_ = std::move(object); }
  [[nodiscard]] auto object() const -> const std::string& { return object_; }

  [[nodiscard]] auto place() const -> SourceLocation { return PlaceOf(map_); }
  [[nodiscard]] auto PlaceOf(const YamlNode& node) const -> SourceLocation;
  // The place of a field's value; that of the object when it is absent.
  [[nodiscard]] auto PlaceOf(std::string_view key) const -> SourceLocation;

  [[nodiscard]] auto ReadText(std::string_view key)
      -> std::optional<std::string>;
  // A valid object name; absence is a finding.
  [[nodiscard]] auto ReadName(std::string_view key) -> std::string;
  [[nodiscard]] auto ReadBoolean(std::string_view key) -> std::optional<bool>;
  [[nodiscard]] auto ReadCount(std::string_view key, Range<std::uint32_t> range)
      -> std::optional<std::uint32_t>;
  [[nodiscard]] auto ReadRatio(std::string_view key, Range<double> range)
      -> std::optional<double>;
  [[nodiscard]] auto ReadDuration(std::string_view key, Range<Duration> range)
      -> std::optional<Duration>;
  [[nodiscard]] auto ReadSize(std::string_view key, Range<std::uint64_t> range)
      -> std::optional<std::uint64_t>;
  [[nodiscard]] auto ReadAddress(std::string_view key)
      -> std::optional<SocketAddress>;
  // The position of the value among `choices`.
  [[nodiscard]] auto ReadChoice(std::string_view key,
                                const std::vector<std::string>& choices)
      -> std::optional<std::size_t>;
  [[nodiscard]] auto ReadReference(std::string_view key)
      -> std::optional<Reference>;
  [[nodiscard]] auto ReadReferences(std::string_view key)
      -> std::vector<Reference>;
  // The elements of a sequence of maps.
  [[nodiscard]] auto ReadMaps(std::string_view key)
      -> std::vector<const YamlNode*>;

  // Adds a finding for a field that must be there.
  void ReportMissing(std::string_view key, const std::string& remedy);
  void Report(const SourceLocation& place, std::string problem,
              std::string remedy);

  // Reports keys that no reader asked for, and keys that appear twice.
  void CheckKeys();

 private:
  // Returns the value of `key` and remembers that the key is known.
  auto Find(std::string_view key) -> const YamlNode*;
  // As Find, for a value that has to be a scalar.
  auto FindScalar(std::string_view key) -> const YamlNode*;
  auto FindSequence(std::string_view key) -> const YamlNode*;
  void ReportWrongType(const YamlNode& node, std::string_view key,
                       const std::string& wanted);
  template <typename T>
  auto CheckRange(std::string_view key, const YamlNode& node, T value,
                  Range<T> range) -> std::optional<T>;

  const YamlNode& map_;
  std::string file_;
  std::string object_;
  std::vector<std::string> known_;
  Findings& findings_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_OBJECT_FIELDS_H_
