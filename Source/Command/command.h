#ifndef HEMLOCKWICK_COMMAND_COMMAND_H_
#define HEMLOCKWICK_COMMAND_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

namespace hemlockwick {

// Exit codes of every command, as documented in docs/OPERATIONS.md.
enum class ExitCode : int {
  kSuccess = 0,
  kFailure = 1,  // The command ran with a negative result.
  kUsage = 2,    // The command could not run: bad arguments, files, addresses.
};

// One subcommand of the program.
class Command {
 public:
  Command() = default;
  virtual ~Command() = default;
  Command(const Command&) = delete;
  auto operator=(const Command&) -> Command& = delete;

  [[nodiscard]] virtual auto name() const -> std::string_view = 0;
  // Another name under which it is found; empty if there is none.
  [[nodiscard]] virtual auto earlier_name() const -> std::string_view {
    return {};
  }
  [[nodiscard]] virtual auto summary() const -> std::string_view = 0;

  // Runs with the arguments after the subcommand's name.
  [[nodiscard]] virtual auto Run(const std::vector<std::string>& arguments)
      -> ExitCode = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_COMMAND_H_
