#include "StandIn/instance_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>

namespace hemlockwick {

namespace {

// The files that a new process has open.
class FileActions {
 public:
  explicit FileActions(const std::string& log) {
    constexpr auto kMode = 0600;
    posix_spawn_file_actions_init(&actions_);
    posix_spawn_file_actions_addopen(&actions_, STDOUT_FILENO, log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kMode);
    posix_spawn_file_actions_adddup2(&actions_, STDOUT_FILENO, STDERR_FILENO);
    // The starter's sockets stay with the starter.
    posix_spawn_file_actions_addclosefrom_np(&actions_, STDERR_FILENO + 1);
  }
  ~FileActions() { posix_spawn_file_actions_destroy(&actions_); }
  FileActions(const FileActions&) = delete;
  auto operator=(const FileActions&) -> FileActions& = delete;

  [[nodiscard]] auto get() const -> const posix_spawn_file_actions_t* {
    return &actions_;
  }

 private:
  posix_spawn_file_actions_t actions_{};
};

}  // namespace

auto InstanceProcess::Start(const std::string& program,
                            const std::string& command,
                            const std::string& settings, const std::string& log)
    -> Result<std::unique_ptr<InstanceProcess>> {
  const auto actions = FileActions(log);
  auto arguments =
      std::array<std::string, 4>{program, command, "--settings", settings};
  auto argv =
      std::array<char*, 5>{arguments[0].data(), arguments[1].data(),
                           arguments[2].data(), arguments[3].data(), nullptr};
  auto id = pid_t{0};
  const auto error = posix_spawn(&id, program.c_str(), actions.get(), nullptr,
                                 argv.data(), environ);
  if (error != 0) {
    return Fail(ErrorCode::kInternal,
                "cannot start " + program + ": " + std::strerror(error),
                "build the target hemlockwick first");
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
