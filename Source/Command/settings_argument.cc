#include "Command/settings_argument.h"

#include <cxxopts.hpp>
#include <iostream>
#include <optional>

#include "Command/options.h"

namespace hemlockwick {

namespace {

auto ParseArguments(const std::vector<std::string>& arguments,
                    cxxopts::Options& options) -> cxxopts::ParseResult {
  options.add_options()                                               //
      ("settings", "YAML file with this instance's settings",         //
       cxxopts::value<std::string>(), "FILE")                         //
      ("check-settings", "Check the settings file and do not serve")  //
      ("h,help", "Show this help");
  return ParseOptions(options, arguments);
}

// Reads the settings; nothing after their findings were printed.
auto ReadSettings(const std::string& file)
    -> Result<std::optional<ServeSettings>> {
  BOOST_LEAF_AUTO(text, ReadTextFile(file));
  const auto parsed = ParseSettings(text, file);
  for (const auto& finding : parsed.findings) {
    std::cerr << ToString(finding) << "\n";
  }
  if (!parsed.findings.empty()) {
    return std::optional<ServeSettings>();
  }
  return std::optional(parsed.settings);
}

}  // namespace

auto RunWithSettings(const std::string& name, const std::string& summary,
                     const std::vector<std::string>& arguments,
                     const std::function<Result<ExitCode>(
                         const std::string& file, const ServeSettings&)>& serve)
    -> ExitCode {
  const auto program = "hemlockwick " + name;
  auto options = cxxopts::Options(program, summary);
  const auto parsed = ParseArguments(arguments, options);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kSuccess;
  }
  if (!parsed.unmatched().empty()) {
    return ReportError(
        program, {ErrorCode::kInvalidArgument,
                  "unexpected argument '" + parsed.unmatched().front() + "'",
                  "see '" + program + " --help'"});
  }
  if (parsed.count("settings") == 0) {
    return ReportError(program,
                       {ErrorCode::kInvalidArgument, "no settings file given",
                        "add --settings FILE"});
  }
  const auto file = parsed["settings"].as<std::string>();
  return TryOr(
      [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(settings, ReadSettings(file));
        if (!settings) {
          return ExitCode::kUsage;
        }
        if (parsed.count("check-settings") > 0) {
          std::cout << "settings of " << settings->name << " are valid\n";
          return ExitCode::kSuccess;
        }
        return serve(file, *settings);
      },
      [&program](const Error& error) { return ReportError(program, error); });
}

}  // namespace hemlockwick
