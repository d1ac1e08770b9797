#ifndef HEMLOCKWICK_STANDIN_INSTANCE_PROCESS_H_
#define HEMLOCKWICK_STANDIN_INSTANCE_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>

#include "Core/error.h"
#include "Core/time.h"

namespace hemlockwick {

// A hemlockwick process that a test, the demo or the soak started. The
// destructor kills it by its id when it still runs. It also ends with the
// thread that started it, even when that is killed.
class InstanceProcess {
 public:
  // Runs PROGRAM COMMAND --settings SETTINGS and appends its output to LOG.
  [[nodiscard]] static auto Start(const std::string& program,
                                  const std::string& command,
                                  const std::string& settings,
                                  const std::string& log)
      -> Result<std::unique_ptr<InstanceProcess>>;
  ~InstanceProcess();
  InstanceProcess(const InstanceProcess&) = delete;
  auto operator=(const InstanceProcess&) -> InstanceProcess& = delete;

  void Signal(int signal) const;

  // Whether the program has handled, ignored or blocked a signal by now. A new
  // process ends by signals for which it has done none of these yet.
  [[nodiscard]] auto Handles(int signal) const -> bool;

  // Whether the process has ended.
  [[nodiscard]] auto Ended() -> bool;

  // The exit code once it has ended by itself; empty when it was killed.
  [[nodiscard]] auto exit_code() const -> std::optional<int> {
    return exit_code_;
  }

 private:
  explicit InstanceProcess(pid_t id) : id_(id) {}

  const pid_t id_;
  bool ended_ = false;
  std::optional<int> exit_code_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_INSTANCE_PROCESS_H_
