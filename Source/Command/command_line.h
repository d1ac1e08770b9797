#ifndef HEMLOCKWICK_COMMAND_COMMAND_LINE_H_
#define HEMLOCKWICK_COMMAND_COMMAND_LINE_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// Selects a subcommand by name and runs it. Shared by hemlockwick and
// hemlockwick-measure.
class CommandLine {
 public:
  CommandLine(std::string program, std::string version,
              std::vector<std::unique_ptr<Command>> commands);

  // Runs the subcommand that the first argument names. `arguments` does not
  // contain the program name.
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments) const
      -> ExitCode;

 private:
  [[nodiscard]] auto Find(std::string_view name) const -> Command*;
  void PrintHelp() const;

  std::string program_;
  std::string version_;
  std::vector<std::unique_ptr<Command>> commands_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_COMMAND_LINE_H_
