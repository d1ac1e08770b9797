#include "Command/check_command.h"
#include "Command/commands.h"
#include "Command/edge_command.h"
#include "Command/serve_command.h"
#include "Command/status_command.h"
#include "Command/timeline_command.h"

namespace hemlockwick {

auto MakeCommands() -> std::vector<std::unique_ptr<Command>> {
  auto commands = std::vector<std::unique_ptr<Command>>();
  commands.push_back(std::make_unique<CheckCommand>());
  commands.push_back(std::make_unique<EdgeCommand>());
  commands.push_back(std::make_unique<ServeCommand>());
  commands.push_back(std::make_unique<StatusCommand>());
  commands.push_back(std::make_unique<TimelineCommand>());
  return commands;
}

}  // namespace hemlockwick
