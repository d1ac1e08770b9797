#ifndef HEMLOCKWICK_COMMAND_COMMANDS_H_
#define HEMLOCKWICK_COMMAND_COMMANDS_H_

#include <memory>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// The subcommands of this build of the program. all_commands.cc holds the
// full list, edge_commands.cc the one of a build for small machines.
[[nodiscard]] auto MakeCommands() -> std::vector<std::unique_ptr<Command>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_COMMANDS_H_
