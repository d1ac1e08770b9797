#include "Command/check_command.h"

#include <cxxopts.hpp>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>
#include <numeric>
#include <optional>

#include "Command/object_files.h"
#include "Command/options.h"
#include "Command/value_files.h"
#include "Config/config_check.h"
#include "Config/digest_text.h"
#include "Config/utc_time.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

namespace {

namespace fs = std::filesystem;
using Json = nlohmann::json;

enum class OutputFormat { kText, kJson };

struct CheckOptions {
  std::vector<std::string> inputs;
  std::optional<fs::path> previous;
  std::optional<fs::path> out;
  std::optional<Version> version;
  TimePoint published;
  OutputFormat format = OutputFormat::kText;
};

auto DescribeOptions() -> cxxopts::Options {
  auto options = cxxopts::Options("hemlockwick check",
                                  "Checks a set of objects and writes the "
                                  "values to publish.");
  options.custom_help("[OPTIONS]");
  options.positional_help("DIR|FILE...");
  auto add = options.add_options();
  add("previous", "Values published before: their folder or index file",
      cxxopts::value<std::string>(), "PATH");
  add("out", "Folder for the values to publish", cxxopts::value<std::string>(),
      "DIR");
  add("published", "Time of publication, YYYY-MM-DDTHH:MM:SSZ (default: now)",
      cxxopts::value<std::string>(), "TIME");
  add("set-version", "Version to publish (default: previous + 1)",
      cxxopts::value<std::uint64_t>(), "N");
  add("format", "text or json",
      cxxopts::value<std::string>()->default_value("text"), "FORMAT");
  add("inputs", "Object files, or folders of *.yaml files",
      cxxopts::value<std::vector<std::string>>(), "DIR|FILE");
  add("h,help", "Print this help");
  add("version", "Print the version of the program");
  options.parse_positional("inputs");
  return options;
}

auto ParseFormat(const std::string& text) -> Result<OutputFormat> {
  if (text == "text") {
    return OutputFormat::kText;
  }
  if (text == "json") {
    return OutputFormat::kJson;
  }
  return Fail(ErrorCode::kInvalidArgument, "unknown format '" + text + "'",
              "use text or json");
}

auto ReadOptions(const cxxopts::ParseResult& parsed) -> Result<CheckOptions> {
  auto options = CheckOptions();
  if (parsed.count("inputs") == 0) {
    return Fail(ErrorCode::kInvalidArgument, "no folder or file given",
                "see 'hemlockwick check --help'");
  }
  options.inputs = parsed["inputs"].as<std::vector<std::string>>();
  if (parsed.count("previous") != 0) {
    options.previous = parsed["previous"].as<std::string>();
  }
  if (parsed.count("out") != 0) {
    options.out = parsed["out"].as<std::string>();
  }
  if (parsed.count("set-version") != 0) {
    options.version = Version(parsed["set-version"].as<std::uint64_t>());
  }
  options.published = SystemClock().Now();
  if (parsed.count("published") != 0) {
    BOOST_LEAF_ASSIGN(options.published,
                      ParseUtc(parsed["published"].as<std::string>()));
  }
  BOOST_LEAF_ASSIGN(options.format,
                    ParseFormat(parsed["format"].as<std::string>()));
  return options;
}

auto FindingToJson(const Finding& finding) -> Json {
  return Json{
      {"severity", finding.severity == Severity::kError ? "error" : "warning"},
      {"file", finding.location.file},
      {"line", finding.location.line},
      {"column", finding.location.column},
      {"object", finding.object},
      {"problem", finding.problem},
      {"remedy", finding.remedy}};
}

auto CountEndpoints(const FleetConfig& config) -> std::size_t {
  return std::accumulate(config.services.begin(), config.services.end(),
                         std::size_t{0},
                         [](std::size_t sum, const auto& service) {
                           return sum + service->endpoints.size();
                         });
}

void PrintText(const Findings& findings, const FleetConfig* config,
               const std::string& digest, std::size_t values) {
  for (const auto& finding : findings) {
    std::cout << ToString(finding) << "\n";
  }
  if (config == nullptr) {
    std::cout << "nothing to publish; findings: " << findings.size() << "\n";
    return;
  }
  std::cout << config->services.size() << " services and "
            << CountEndpoints(*config) << " endpoints in "
            << config->data_centres.size() << " data centres; version "
            << config->version.value() << ", digest " << digest << ", "
            << values << " values\n";
}

void PrintJson(const Findings& findings, const FleetConfig* config,
               const std::string& digest, std::size_t values) {
  auto json = Json{{"findings", Json::array()}};
  for (const auto& finding : findings) {
    json["findings"].push_back(FindingToJson(finding));
  }
  if (config != nullptr) {
    json["version"] = config->version.value();
    json["digest"] = digest;
    json["values"] = values;
    json["services"] = config->services.size();
    json["endpoints"] = CountEndpoints(*config);
  }
  // Names from object files may contain invalid UTF-8.
  std::cout << json.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
}

// Reports values that exceed the platform's size limit.
void CheckValueSizes(const std::vector<PublishedValue>& values,
                     Findings& findings) {
  for (const auto& value : values) {
    if (value.body.size() > kMaxValueBytes) {
      findings.push_back(Finding{
          Severity::kError, SourceLocation{value.key, 0, 0}, "published value",
          "has " + std::to_string(value.body.size()) + " bytes, more than " +
              std::to_string(kMaxValueBytes),
          "split its service or change its endpoints less often"});
    }
  }
}

auto ReadPrevious(const CheckOptions& options) -> Result<PreviousConfig> {
  if (!options.previous) {
    return PreviousConfig();
  }
  BOOST_LEAF_AUTO(config, ReadValues(*options.previous));
  return PreviousConfig{config, options.previous->string()};
}

auto NextVersion(const CheckOptions& options, const PreviousConfig& previous)
    -> Version {
  const auto last =
      previous.config == nullptr ? 0 : previous.config->version.value();
  return options.version.value_or(Version(last + 1));
}

auto Check(const CheckOptions& options) -> Result<ExitCode> {
  BOOST_LEAF_AUTO(previous, ReadPrevious(options));
  BOOST_LEAF_AUTO(files, LoadObjectFiles(options.inputs));
  const auto reader = ParseObjectFiles(files);
  auto outcome = CheckObjects(reader, previous, NextVersion(options, previous),
                              options.published);
  auto values = std::vector<PublishedValue>();
  auto digest = std::string();
  if (outcome.config != nullptr) {
    values = EncodeFleetConfig(*outcome.config);
    CheckValueSizes(values, outcome.findings);
    BOOST_LEAF_AUTO(index, DecodeIndex(values.back().body));
    digest = ToString(index.digest);
  }
  const auto failed = HasErrors(outcome.findings);
  if (!failed && options.out) {
    BOOST_LEAF_CHECK(WriteValues(*options.out, values));
  }
  const auto* const config = failed ? nullptr : outcome.config.get();
  if (options.format == OutputFormat::kJson) {
    PrintJson(outcome.findings, config, digest, values.size());
  } else {
    PrintText(outcome.findings, config, digest, values.size());
  }
  return failed ? ExitCode::kFailure : ExitCode::kSuccess;
}

auto ReadAndCheck(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  BOOST_LEAF_AUTO(options, ReadOptions(parsed));
  return Check(options);
}

}  // namespace

auto CheckCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  auto options = DescribeOptions();
  const auto parsed = ParseOptions(options, arguments);
  if (parsed.count("help") != 0) {
    std::cout << options.help() << "\n";
    return ExitCode::kSuccess;
  }
  if (parsed.count("version") != 0) {
    std::cout << "hemlockwick " << HEMLOCKWICK_VERSION << "\n";
    return ExitCode::kSuccess;
  }
  return TryOr([&parsed] { return ReadAndCheck(parsed); },
               [](const Error& error) {
                 return ReportError("hemlockwick check", error);
               });
}

}  // namespace hemlockwick
