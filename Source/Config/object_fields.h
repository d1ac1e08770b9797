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

// Inclusive range of the values that a field accepts.
template <typename T>
struct Range {
  T min;
  T max;
};

// Reads the fields of one object from a YAML map. The Read functions return
// nullopt or an empty value if the field is absent, or if it is invalid, which
// adds a finding.
class ObjectFields {
 public:
  // `map` and `findings` must outlive the reader.
  ObjectFields(const YamlNode& map, std::string file, Findings& findings);

  // Sets the object that subsequent findings name.
  void SetObjectName(std::string object) { object_ = std::move(object); }
  [[nodiscard]] auto object() const -> const std::string& { return object_; }

  [[nodiscard]] auto place() const -> SourceLocation { return PlaceOf(map_); }
  [[nodiscard]] auto PlaceOf(const YamlNode& node) const -> SourceLocation;
  // Returns the source location of a field's value, or of the object if the
  // field is absent.
  [[nodiscard]] auto PlaceOf(std::string_view key) const -> SourceLocation;

  [[nodiscard]] auto ReadText(std::string_view key)
      -> std::optional<std::string>;
  // Reads a required object name. An absent name is reported, too.
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
  // Returns the position of the value in `choices`.
  [[nodiscard]] auto ReadChoice(std::string_view key,
                                const std::vector<std::string>& choices)
      -> std::optional<std::size_t>;
  [[nodiscard]] auto ReadReference(std::string_view key)
      -> std::optional<Reference>;
  [[nodiscard]] auto ReadReferences(std::string_view key)
      -> std::vector<Reference>;
  // Returns the elements of a sequence of maps.
  [[nodiscard]] auto ReadMaps(std::string_view key)
      -> std::vector<const YamlNode*>;

  // Reports a missing required field, unless the key is present: then its
  // invalid value has already been reported.
  void ReportMissing(std::string_view key, const std::string& remedy);
  void Report(const SourceLocation& place, std::string problem,
              std::string remedy);

  // Reports unknown keys, that is, keys that no Read function was called for,
  // and duplicate keys. Call it after reading all fields.
  void CheckKeys();

 private:
  // Returns the value of `key`, or null if absent, and records the key as
  // known.
  auto Find(std::string_view key) -> const YamlNode*;
  // Like Find, but reports a value that is not a scalar and returns null.
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
