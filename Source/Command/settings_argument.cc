#include "Command/settings_argument.h"

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <optional>

#include "Command/options.h"
#include "Runtime/stop_signals.h"

namespace hemlockwick {

namespace {

auto MakeOptions(const std::string& program, const std::string& summary)
    -> cxxopts::Options {
  auto options = cxxopts::Options(program, summary);
  options.add_options()                                               //
      ("settings", "YAML file with this instance's settings",         //
       cxxopts::value<std::string>(), "FILE")                         //
      ("check-settings", "Check the settings file and do not serve")  //
      ("h,help", "Show this help");
  return options;
}

// Returns the path of the settings file that the arguments name.
auto SettingsPath(const std::string& program,
                  const cxxopts::ParseResult& parsed) -> Result<std::string> {
  if (!parsed.unmatched().empty()) {
    return Fail(ErrorCode::kInvalidArgument,
                "unexpected argument '" + parsed.unmatched().front() + "'",
                "see '" + program + " --help'");
  }
  if (parsed.count("settings") == 0) {
    return Fail(ErrorCode::kInvalidArgument, "no settings file given",
                "add --settings FILE");
  }
  return parsed["settings"].as<std::string>();
}

// Reads the settings. Prints the findings and returns nullopt if there are any.
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
  // The default action of these signals would end the process at once. A reload
  // before the settings are read needs no action; a stop waits until `serve`
  // can stop in order.
  BlockStopSignals();
  std::signal(SIGHUP, SIG_IGN);
  const auto program = "hemlockwick " + name;
  return RunWithOptions(
      MakeOptions(program, summary), arguments,
      [&](const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
        BOOST_LEAF_AUTO(file, SettingsPath(program, parsed));
        BOOST_LEAF_AUTO(settings, ReadSettings(file));
        if (!settings) {
          return ExitCode::kUsage;
        }
        if (parsed.count("check-settings") > 0) {
          std::cout << "settings of " << settings->name << " are valid\n";
          return ExitCode::kSuccess;
        }
        return serve(file, *settings);
      });
}

}  // namespace hemlockwick
