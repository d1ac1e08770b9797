#include "Config/object_fields.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>
#include <sstream>
#include <system_error>
#include <type_traits>

#include "Config/nearest_name.h"
#include "Config/quantity.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxNameLength = 63;

auto IsNameCharacter(char character) -> bool {
  return (character >= 'a' && character <= 'z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

auto Join(const std::vector<std::string>& words) -> std::string {
  auto text = std::string();
  for (const auto& word : words) {
    text += (text.empty() ? "" : ", ") + word;
  }
  return text;
}

// Formats a limit; durations are given in seconds.
template <typename T>
auto BoundText(T bound) -> std::string {
  auto text = std::ostringstream();
  if constexpr (std::is_same_v<T, Duration>) {
    text << std::chrono::duration<double>(bound).count() << "s";
  } else {
    text << bound;
  }
  return text.str();
}

// Parses the whole text as a number; returns nullopt if it is not one.
template <typename T>
auto ParseNumber(const std::string& text) -> std::optional<T> {
  auto number = T();
  const auto* const end = text.data() + text.size();
  const auto [rest, status] = std::from_chars(text.data(), end, number);
  if (status != std::errc() || rest != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

ObjectFields::ObjectFields(const YamlNode& map, std::string file,
                           Findings& findings)
    : map_(map), file_(std::move(file)), findings_(findings) {}

auto ObjectFields::PlaceOf(const YamlNode& node) const -> SourceLocation {
  return SourceLocation{file_, node.line, node.column};
}

auto ObjectFields::PlaceOf(std::string_view key) const -> SourceLocation {
  for (std::size_t at = 0; at + 1 < map_.children.size(); at += 2) {
    if (map_.children[at].scalar == key) {
      return PlaceOf(map_.children[at + 1]);
    }
  }
  return place();
}

auto ObjectFields::ReadText(std::string_view key)
    -> std::optional<std::string> {
  const auto* const node = FindScalar(key);
  return node == nullptr ? std::nullopt : std::optional(node->scalar);
}

auto ObjectFields::ReadName(std::string_view key) -> std::string {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    ReportMissing(key, "add '" + std::string(key) + ": NAME'");
    return {};
  }
  if (!IsName(node->scalar)) {
    Report(PlaceOf(*node), "'" + node->scalar + "' is not a valid name",
           "use 1 to " + std::to_string(kMaxNameLength) +
               " of a-z, 0-9, '-', '_' and '.'");
    return {};
  }
  return node->scalar;
}

auto ObjectFields::ReadBoolean(std::string_view key) -> std::optional<bool> {
  const auto choice = ReadChoice(key, {"false", "true"});
  return choice ? std::optional(*choice == 1) : std::nullopt;
}

auto ObjectFields::ReadCount(std::string_view key, Range<std::uint32_t> range)
    -> std::optional<std::uint32_t> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto number = ParseNumber<std::int64_t>(node->scalar);
  if (!number) {
    ReportWrongType(*node, key, "a whole number");
    return std::nullopt;
  }
  const auto wide =
      CheckRange<std::int64_t>(key, *node, *number, {range.min, range.max});
  return wide ? std::optional(static_cast<std::uint32_t>(*wide)) : std::nullopt;
}

auto ObjectFields::ReadRatio(std::string_view key, Range<double> range)
    -> std::optional<double> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto number = ParseNumber<double>(node->scalar);
  if (!number || !std::isfinite(*number)) {
    ReportWrongType(*node, key, "a number");
    return std::nullopt;
  }
  return CheckRange(key, *node, *number, range);
}

auto ObjectFields::ReadDuration(std::string_view key, Range<Duration> range)
    -> std::optional<Duration> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto duration = TryOr(
      [node]() -> Result<std::optional<Duration>> {
        BOOST_LEAF_AUTO(parsed, ParseDuration(node->scalar));
        return parsed;
      },
      [&](const Error& error) -> std::optional<Duration> {
        Report(PlaceOf(*node), std::string(key) + ": " + error.message,
               error.remedy);
        return std::nullopt;
      });
  return duration ? CheckRange(key, *node, *duration, range) : std::nullopt;
}

auto ObjectFields::ReadSize(std::string_view key, Range<std::uint64_t> range)
    -> std::optional<std::uint64_t> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto size = TryOr(
      [node]() -> Result<std::optional<std::uint64_t>> {
        BOOST_LEAF_AUTO(parsed, ParseSize(node->scalar));
        return parsed;
      },
      [&](const Error& error) -> std::optional<std::uint64_t> {
        Report(PlaceOf(*node), std::string(key) + ": " + error.message,
               error.remedy);
        return std::nullopt;
      });
  return size ? CheckRange(key, *node, *size, range) : std::nullopt;
}

auto ObjectFields::ReadAddress(std::string_view key)
    -> std::optional<SocketAddress> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    ReportMissing(key, "add '" + std::string(key) + ": A.B.C.D:PORT'");
    return std::nullopt;
  }
  return TryOr(
      [node]() -> Result<std::optional<SocketAddress>> {
        BOOST_LEAF_AUTO(parsed, ParseSocketAddress(node->scalar));
        return parsed;
      },
      [&](const Error& error) -> std::optional<SocketAddress> {
        Report(PlaceOf(*node), error.message, error.remedy);
        return std::nullopt;
      });
}

auto ObjectFields::ReadChoice(std::string_view key,
                              const std::vector<std::string>& choices)
    -> std::optional<std::size_t> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const auto found = std::find(choices.begin(), choices.end(), node->scalar);
  if (found == choices.end()) {
    ReportWrongType(*node, key, "one of " + Join(choices));
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - choices.begin());
}

auto ObjectFields::ReadReference(std::string_view key)
    -> std::optional<Reference> {
  const auto* const node = FindScalar(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  return Reference{node->scalar, PlaceOf(*node)};
}

auto ObjectFields::ReadReferences(std::string_view key)
    -> std::vector<Reference> {
  auto references = std::vector<Reference>();
  const auto* const sequence = FindSequence(key);
  if (sequence == nullptr) {
    return references;
  }
  for (const auto& node : sequence->children) {
    if (node.kind != YamlNode::Kind::kScalar) {
      ReportWrongType(node, key, "a list of names");
      continue;
    }
    references.push_back(Reference{node.scalar, PlaceOf(node)});
  }
  return references;
}

auto ObjectFields::ReadMaps(std::string_view key)
    -> std::vector<const YamlNode*> {
  auto maps = std::vector<const YamlNode*>();
  const auto* const sequence = FindSequence(key);
  if (sequence == nullptr) {
    return maps;
  }
  for (const auto& node : sequence->children) {
    if (node.kind == YamlNode::Kind::kMap) {
      maps.push_back(&node);
    } else {
      ReportWrongType(node, key, "a list of maps");
    }
  }
  return maps;
}

void ObjectFields::ReportMissing(std::string_view key,
                                 const std::string& remedy) {
  const auto is_present = [key](const YamlNode& node) {
    return node.scalar == key;
  };
  // An invalid value has already been reported.
  for (std::size_t at = 0; at + 1 < map_.children.size(); at += 2) {
    if (is_present(map_.children[at])) {
      return;
    }
  }
  Report(place(), "'" + std::string(key) + "' is missing", remedy);
}

void ObjectFields::Report(const SourceLocation& place, std::string problem,
                          std::string remedy) {
  findings_.push_back(Finding{Severity::kError, place, object_,
                              std::move(problem), std::move(remedy)});
}

void ObjectFields::CheckKeys() {
  auto seen = std::set<std::string_view>();
  for (std::size_t at = 0; at + 1 < map_.children.size(); at += 2) {
    const auto& key = map_.children[at];
    if (std::find(known_.begin(), known_.end(), key.scalar) == known_.end()) {
      const auto nearest = NearestName(key.scalar, known_);
      Report(PlaceOf(key), "unknown key '" + key.scalar + "'",
             nearest.empty() ? "known keys: " + Join(known_)
                             : "did you mean '" + nearest + "'?");
    } else if (!seen.insert(key.scalar).second) {
      Report(PlaceOf(key), "key '" + key.scalar + "' appears twice",
             "remove one of them");
    }
  }
}

auto ObjectFields::Find(std::string_view key) -> const YamlNode* {
  if (std::find(known_.begin(), known_.end(), key) == known_.end()) {
    known_.emplace_back(key);
  }
  for (std::size_t at = 0; at + 1 < map_.children.size(); at += 2) {
    if (map_.children[at].scalar == key) {
      return &map_.children[at + 1];
    }
  }
  return nullptr;
}

auto ObjectFields::FindScalar(std::string_view key) -> const YamlNode* {
  const auto* const node = Find(key);
  if (node != nullptr && node->kind != YamlNode::Kind::kScalar) {
    ReportWrongType(*node, key, "a single value");
    return nullptr;
  }
  return node;
}

auto ObjectFields::FindSequence(std::string_view key) -> const YamlNode* {
  const auto* const node = Find(key);
  if (node != nullptr && node->kind != YamlNode::Kind::kSequence) {
    ReportWrongType(*node, key, "a list");
    return nullptr;
  }
  return node;
}

void ObjectFields::ReportWrongType(const YamlNode& node, std::string_view key,
                                   const std::string& wanted) {
  const auto shown =
      node.kind == YamlNode::Kind::kScalar ? " '" + node.scalar + "'" : "";
  Report(PlaceOf(node),
         "wrong type" + shown + " for '" + std::string(key) + "'",
         "write " + wanted);
}

template <typename T>
auto ObjectFields::CheckRange(std::string_view key, const YamlNode& node,
                              T value, Range<T> range) -> std::optional<T> {
  if (value >= range.min && value <= range.max) {
    return value;
  }
  Report(PlaceOf(node),
         std::string(key) + ": '" + node.scalar + "' is out of range",
         "use " + BoundText(range.min) + " to " + BoundText(range.max));
  return std::nullopt;
}

}  // namespace hemlockwick
