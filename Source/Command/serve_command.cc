#include "Command/serve_command.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>

#include "Command/options.h"
#include "Runtime/instance.h"
#include "Runtime/log.h"
#include "Runtime/settings.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

namespace {

constexpr const char* kPrefix = "hemlockwick serve: ";

// How often a stopping process looks whether it is done.
constexpr auto kStopCheck = timespec{0, 20'000'000};

auto ParseArguments(const std::vector<std::string>& arguments,
                    cxxopts::Options& options) -> cxxopts::ParseResult {
  options.add_options()                                               //
      ("settings", "YAML file with this instance's settings",         //
       cxxopts::value<std::string>(), "FILE")                         //
      ("check-settings", "Check the settings file and do not serve")  //
      ("h,help", "Show this help");
  return ParseOptions(options, arguments);
}

auto PrintError(const Error& error) -> ExitCode {
  std::cerr << kPrefix << error.message;
  if (!error.remedy.empty()) {
    std::cerr << "; " << error.remedy;
  }
  std::cerr << "\n";
  return ExitCode::kUsage;
}

// The signals that stop the process; blocked in every thread and waited for
// in the main one.
auto StopSignals() -> sigset_t {
  auto signals = sigset_t{};
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

void BlockSignals() {
  const auto signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForSignal() {
  const auto signals = StopSignals();
  auto signal = 0;
  sigwait(&signals, &signal);
}

// Whether a further stop signal arrives within kStopCheck.
auto SignalArrives() -> bool {
  const auto signals = StopSignals();
  return sigtimedwait(&signals, nullptr, &kStopCheck) > 0;
}

// Lets the instance leave until it is done, a second signal arrives or the
// deadline has passed. Returns whether it was done.
auto Leave(Instance& instance, Duration deadline) -> bool {
  const auto clock = SystemClock();
  const auto latest = clock.Now() + deadline;
  Log(LogLevel::kInfo, "stopping");
  instance.BeginLeave();
  while (!instance.LeaveDone()) {
    if (SignalArrives()) {
      Log(LogLevel::kWarning, "second stop signal; ending at once");
      return false;
    }
    if (clock.Now() >= latest) {
      Log(LogLevel::kWarning, "drain deadline reached; ending at once");
      return false;
    }
  }
  return true;
}

auto Serve(const ServeSettings& settings) -> Result<ExitCode> {
  BlockSignals();
  StartLog(settings.name, settings.log_level);
  BOOST_LEAF_AUTO(instance, Instance::Start(settings));
  Log(LogLevel::kInfo, "serving",
      {{"http", ToString(settings.http)},
       {"packet", ToString(settings.packet)}});
  WaitForSignal();
  if (!Leave(*instance, settings.drain_deadline)) {
    instance->Abort();
    // Attempts at endpoints may run for long; nobody waits for them now.
    std::quick_exit(static_cast<int>(ExitCode::kFailure));
  }
  instance.reset();
  Log(LogLevel::kInfo, "stopped");
  return ExitCode::kSuccess;
}

auto Start(const std::string& file, bool check_only) -> Result<ExitCode> {
  BOOST_LEAF_AUTO(text, ReadTextFile(file));
  const auto parsed = ParseSettings(text, file);
  for (const auto& finding : parsed.findings) {
    std::cerr << ToString(finding) << "\n";
  }
  if (!parsed.findings.empty()) {
    return ExitCode::kUsage;
  }
  if (check_only) {
    std::cout << "settings of " << parsed.settings.name << " are valid\n";
    return ExitCode::kSuccess;
  }
  return Serve(parsed.settings);
}

}  // namespace

auto ServeCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  auto options = cxxopts::Options("hemlockwick serve", std::string(summary()));
  const auto parsed = ParseArguments(arguments, options);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kSuccess;
  }
  if (!parsed.unmatched().empty()) {
    return PrintError(
        {ErrorCode::kInvalidArgument,
         "unexpected argument '" + parsed.unmatched().front() + "'",
         "see 'hemlockwick serve --help'"});
  }
  if (parsed.count("settings") == 0) {
    return PrintError({ErrorCode::kInvalidArgument, "no settings file given",
                       "add --settings FILE"});
  }
  const auto file = parsed["settings"].as<std::string>();
  const auto check_only = parsed.count("check-settings") > 0;
  return TryOr([&] { return Start(file, check_only); }, &PrintError);
}

}  // namespace hemlockwick
