#include "Command/serve_command.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <memory>

#include "Command/settings_argument.h"
#include "Runtime/instance.h"
#include "Runtime/log.h"
#include "Runtime/settings.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

namespace {

// How often a stopping process looks whether it is done.
constexpr auto kStopPollInterval = timespec{0, 20'000'000};

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

// Whether a further stop signal arrives within kStopPollInterval.
auto WaitForSecondSignal() -> bool {
  const auto signals = StopSignals();
  return sigtimedwait(&signals, nullptr, &kStopPollInterval) > 0;
}

// Lets the instance leave until it is done, a second signal arrives or the
// deadline has passed. Returns whether it was done.
auto Leave(Instance& instance, Duration deadline) -> bool {
  const auto clock = SystemClock();
  const auto latest = clock.Now() + deadline;
  Log(LogLevel::kInfo, "stopping");
  instance.BeginLeave();
  while (!instance.LeaveDone()) {
    if (WaitForSecondSignal()) {
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

}  // namespace

auto ServeCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithSettings(
      "serve", std::string(summary()), arguments,
      [](const std::string& /*file*/, const ServeSettings& settings) {
        return Serve(settings);
      });
}

}  // namespace hemlockwick
