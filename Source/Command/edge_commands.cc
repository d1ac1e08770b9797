#include "Command/commands.h"
#include "Command/edge_command.h"

namespace hemlockwick {

auto MakeCommands() -> std::vector<std::unique_ptr<Command>> {
  auto commands = std::vector<std::unique_ptr<Command>>();
  commands.push_back(std::make_unique<EdgeCommand>());
  return commands;
}

}  // namespace hemlockwick
