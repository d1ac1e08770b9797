#include "StandIn/instance_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>
#include <string>

namespace hemlockwick {

namespace {

// Exit code of a new process that could not run its program.
constexpr int kCannotRun = 127;

// Runs in the new process, with system calls alone: leads its output to `log`
// and runs the program. The process ends with the thread that started it.
[[noreturn]] void RunProgram(const char* program, char* const* argv,
                             const char* log, pid_t starter) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != starter) {
    _exit(kCannotRun);  // The starter has ended before the call above.
  }
  constexpr auto kMode = 0600;
  const auto file = open(log, O_WRONLY | O_CREAT | O_APPEND, kMode);
  dup2(file, STDOUT_FILENO);
  dup2(file, STDERR_FILENO);
  // The starter's sockets stay with the starter.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(program, argv);
  _exit(kCannotRun);
}

}  // namespace

auto InstanceProcess::Start(const std::string& program,
                            const std::string& command,
                            const std::string& settings, const std::string& log)
    -> Result<std::unique_ptr<InstanceProcess>> {
  const auto fail = [&program] {
    return Fail(ErrorCode::kInternal,
                "cannot start " + program + ": " + std::strerror(errno),
                "build the target hemlockwick first");
  };
  if (access(program.c_str(), X_OK) != 0) {
    return fail();
  }
  auto arguments =
      std::array<std::string, 4>{program, command, "--settings", settings};
  auto argv =
      std::array<char*, 5>{arguments[0].data(), arguments[1].data(),
                           arguments[2].data(), arguments[3].data(), nullptr};
  const auto starter = getpid();
  const auto id = fork();
  if (id < 0) {
    return fail();
  }
  if (id == 0) {
    RunProgram(program.c_str(), argv.data(), log.c_str(), starter);
  }
  return std::unique_ptr<InstanceProcess>(new InstanceProcess(id));
}

InstanceProcess::~InstanceProcess() {
  if (Ended()) {
    return;
  }
  Signal(SIGKILL);
  waitpid(id_, nullptr, 0);
}

void InstanceProcess::Signal(int signal) const {
  if (!ended_) {
    kill(id_, signal);
  }
}

auto InstanceProcess::Handles(int signal) const -> bool {
  constexpr auto kHex = 16;
  auto status = std::ifstream("/proc/" + std::to_string(id_) + "/status");
  auto name = std::string();
  auto signals = std::string();
  auto handled = 0ULL;
  while (status >> name) {
    if (name == "SigBlk:" || name == "SigIgn:" || name == "SigCgt:") {
      status >> signals;
      handled |= std::stoull(signals, nullptr, kHex);
    }
  }
  return ((handled >> static_cast<unsigned>(signal - 1)) & 1U) != 0;
}

auto InstanceProcess::Ended() -> bool {
  auto status = 0;
  if (!ended_ && waitpid(id_, &status, WNOHANG) == id_) {
    ended_ = true;
    if (WIFEXITED(status)) {
      exit_code_ = WEXITSTATUS(status);
    }
  }
  return ended_;
}

}  // namespace hemlockwick
