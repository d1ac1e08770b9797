#include "Runtime/settings.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include "Config/nearest_name.h"
#include "Config/quantity.h"
#include "Config/utc_time.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMaxTrafficThreads = 256;
constexpr double kMaxNumber = 1e9;
constexpr std::size_t kMaxNameBytes = 64;

auto ParseAddress(const std::string& text) -> std::optional<SocketAddress> {
  return TryOr(
      [&]() -> Result<std::optional<SocketAddress>> {
        BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
        return std::optional(address);
      },
      [](const Error&) { return std::optional<SocketAddress>(); });
}

// Reads the keys of one settings file.
class SettingsReader {
 public:
  explicit SettingsReader(std::string file) : file_(std::move(file)) {}

  auto Read(std::string_view text) -> SettingsResult {
    try {
      ReadRoot(YAML::Load(std::string(text)));
    } catch (const YAML::Exception& error) {
      Report(error.mark, "not valid YAML: " + error.msg, "correct the syntax");
    }
    return {std::move(settings_), std::move(findings_)};
  }

 private:
  using ReadKey = std::function<void(const YAML::Node&)>;

  void ReadRoot(const YAML::Node& root) {
    if (!root.IsMap()) {
      Report(root.Mark(), "the settings are not a mapping",
             "write one 'key: value' a line");
      return;
    }
    for (const auto& entry : root) {
      ReadEntry(entry.first, entry.second);
    }
    for (const auto* const key :
         {"name", "data_centre", "http", "packet", "platform"}) {
      if (!seen_.contains(key)) {
        Report(root.Mark(), std::string("the key '") + key + "' is missing",
               std::string("add '") + key + ": ...'");
      }
    }
  }

  void ReadEntry(const YAML::Node& key, const YAML::Node& value) {
    const auto name = key.as<std::string>();
    const auto known = readers_.find(name);
    if (known == readers_.end()) {
      Report(key.Mark(), "unknown key '" + name + "'", NearestKey(name));
    } else if (!seen_.insert(name).second) {
      Report(key.Mark(), "the key '" + name + "' appears twice",
             "keep one of the two");
    } else {
      known->second(value);
    }
  }

  auto NearestKey(const std::string& name) const -> std::string {
    auto names = std::vector<std::string>();
    std::ranges::transform(readers_, std::back_inserter(names),
                           [](const auto& reader) { return reader.first; });
    return "did you mean '" + NearestName(name, names) + "'?";
  }

  auto Scalar(const YAML::Node& node) -> std::optional<std::string> {
    if (node.IsScalar()) {
      return node.Scalar();
    }
    Report(node.Mark(), "a single value is expected", "write 'key: value'");
    return std::nullopt;
  }

  void ReadName(const YAML::Node& node, std::string& target) {
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    const auto is_name_character = [](char letter) {
      return std::isalnum(static_cast<unsigned char>(letter)) != 0 ||
             letter == '-' || letter == '_' || letter == '.';
    };
    if (text->empty() || text->size() > kMaxNameBytes ||
        !std::ranges::all_of(*text, is_name_character)) {
      Report(node.Mark(), "'" + *text + "' is not a name",
             "use 1 to 64 letters, digits, '-', '_' or '.'");
      return;
    }
    target = *text;
  }

  void ReadAddress(const YAML::Node& node, SocketAddress& target) {
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    const auto address = ParseAddress(*text);
    if (!address || address->port.value() == 0) {
      Report(node.Mark(), "'" + *text + "' is not an address",
             "write an IPv4 address and a port, for example 10.0.0.1:8080");
      return;
    }
    target = *address;
  }

  void ReadSeeds(const YAML::Node& node) {
    if (!node.IsSequence()) {
      Report(node.Mark(), "'seeds' is not a list", "write [ADDRESS, ...]");
      return;
    }
    for (const auto& entry : node) {
      ReadAddress(entry, settings_.seeds.emplace_back());
    }
  }

  // Names that are not known are kept: a deployment may list more than this
  // version acts on.
  void ReadTerms(const YAML::Node& node) {
    if (!node.IsSequence()) {
      Report(node.Mark(), "'terms' is not a list", "write [NAME, ...]");
      return;
    }
    for (const auto& entry : node) {
      ReadName(entry, settings_.terms.emplace_back());
    }
  }

  void ReadThreadCount(const YAML::Node& node) {
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    auto count = std::size_t{0};
    const auto* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, count);
    if (parsed.ec != std::errc() || parsed.ptr != end || count == 0 ||
        count > kMaxTrafficThreads) {
      Report(node.Mark(), "'" + *text + "' is not a number of threads",
             "write a whole number from 1 to 256");
      return;
    }
    settings_.traffic_threads = count;
  }

  // Reads a positive number. An empty value means that the number is unknown
  // and leaves `target` unchanged.
  void ReadPositiveNumber(const YAML::Node& node, double& target) {
    if (node.IsNull()) {
      return;
    }
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    auto number = 0.0;
    const auto* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || !(number > 0) ||
        number > kMaxNumber) {
      Report(node.Mark(), "'" + *text + "' is not a positive number",
             "write a number above 0, for example 0.5");
      return;
    }
    target = number;
  }

  void ReadLogLevel(const YAML::Node& node) {
    static const auto levels =
        std::map<std::string, LogLevel>{{"debug", LogLevel::kDebug},
                                        {"info", LogLevel::kInfo},
                                        {"warning", LogLevel::kWarning},
                                        {"error", LogLevel::kError}};
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    const auto level = levels.find(*text);
    if (level == levels.end()) {
      Report(node.Mark(), "'" + *text + "' is not a log level",
             "write debug, info, warning or error");
      return;
    }
    settings_.log_level = level->second;
  }

  void ReadDuration(const YAML::Node& node, Duration& target) {
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    target = TryOr([&text] { return ParseDuration(*text); },
                   [&](const Error& error) {
                     Report(node.Mark(), "'" + *text + "' is not a duration",
                            error.remedy);
                     return target;
                   });
  }

  void ReadUtcTime(const YAML::Node& node, TimePoint& target) {
    const auto text = Scalar(node);
    if (!text) {
      return;
    }
    target = TryOr([&text] { return ParseUtc(*text); },
                   [this, &node](const Error& error) {
                     Report(node.Mark(), error.message, error.remedy);
                     return TimePoint();
                   });
  }

  void Report(const YAML::Mark& mark, std::string problem, std::string remedy) {
    const auto place = SourceLocation{file_, mark.line + 1, mark.column + 1};
    findings_.push_back({Severity::kError, place, "settings",
                         std::move(problem), std::move(remedy)});
  }

  const std::string file_;
  ServeSettings settings_;
  Findings findings_;
  std::set<std::string> seen_;
  const std::map<std::string, ReadKey> readers_ = {
      {"name", [this](const auto& node) { ReadName(node, settings_.name); }},
      {"data_centre",
       [this](const auto& node) { ReadName(node, settings_.data_centre); }},
      {"http", [this](const auto& node) { ReadAddress(node, settings_.http); }},
      {"packet",
       [this](const auto& node) { ReadAddress(node, settings_.packet); }},
      {"platform",
       [this](const auto& node) { ReadAddress(node, settings_.platform); }},
      {"metrics",
       [this](const auto& node) { ReadAddress(node, settings_.metrics); }},
      {"relay",
       [this](const auto& node) { ReadAddress(node, settings_.relay); }},
      {"seeds", [this](const auto& node) { ReadSeeds(node); }},
      {"processor_cores",
       [this](const auto& node) {
         ReadPositiveNumber(node, settings_.processor_cores);
       }},
      {"link_mbps",
       [this](const auto& node) {
         ReadPositiveNumber(node, settings_.link_mbps);
       }},
      {"terms", [this](const auto& node) { ReadTerms(node); }},
      {"cold_overage",
       [this](const auto& node) {
         ReadPositiveNumber(node, settings_.cold_overage);
       }},
      {"cold_slack",
       [this](const auto& node) {
         ReadPositiveNumber(node, settings_.cold_slack);
       }},
      {"traffic_threads", [this](const auto& node) { ReadThreadCount(node); }},
      {"log_level", [this](const auto& node) { ReadLogLevel(node); }},
      {"leave_grace",
       [this](const auto& node) { ReadDuration(node, settings_.leave_grace); }},
      {"drain_deadline",
       [this](const auto& node) {
         ReadDuration(node, settings_.drain_deadline);
       }},
      {"first_start_until",
       [this](const auto& node) {
         ReadUtcTime(node, settings_.first_start_until);
       }},
  };
};

}  // namespace

auto ParseSettings(std::string_view text, const std::string& file)
    -> SettingsResult {
  return SettingsReader(file).Read(text);
}

auto ReadTextFile(const std::string& path) -> Result<std::string> {
  auto stream = std::ifstream(path);
  auto text = std::ostringstream();
  if (!stream || !(text << stream.rdbuf())) {
    return Fail(ErrorCode::kNotFound, "cannot read " + path,
                "name an existing, readable file that is not empty");
  }
  return text.str();
}

}  // namespace hemlockwick
