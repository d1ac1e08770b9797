#include "Command/serve_command.h"

#include <csignal>
#include <cstdlib>
#include <ctime>
#include <memory>

#include "Command/settings_argument.h"
#include "Runtime/instance.h"
#include "Runtime/log.h"
#include "Runtime/settings.h"
#include "Runtime/stop_signals.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

namespace {

// Interval at which a stopping process checks whether it has finished.
constexpr auto kStopPollInterval = timespec{0, 20'000'000};

// Waits for a stop signal, which is blocked in every thread.
void WaitForSignal() {
  const auto signals = StopSignals();
  auto signal = 0;
  sigwait(&signals, &signal);
}

// Waits for another stop signal for kStopPollInterval. Returns whether one
// arrived.
auto WaitForSecondSignal() -> bool {
  const auto signals = StopSignals();
  return sigtimedwait(&signals, nullptr, &kStopPollInterval) > 0;
}

// Runs the planned stop of the instance until it is complete, a second stop
// signal arrives or `deadline` has passed. Returns whether it is complete.
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
  // Writing to a connection that the peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  StartLog(settings.name, settings.log_level);
  BOOST_LEAF_AUTO(instance, Instance::Start(settings));
  Log(LogLevel::kInfo, "serving",
      {{"http", ToString(settings.http)},
       {"packet", ToString(settings.packet)}});
  WaitForSignal();
  if (!Leave(*instance, settings.drain_deadline)) {
    instance->Abort();
    // Exit without joining threads: attempts at endpoints may take long, and no
    // caller waits for them any more.
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
