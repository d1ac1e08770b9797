#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Command/check_command.h"
#include "Command/command_line.h"
#include "Command/serve_command.h"
#include "Command/status_command.h"
#include "Command/timeline_command.h"

auto main(int argc, char** argv) -> int {
  auto commands = std::vector<std::unique_ptr<hemlockwick::Command>>();
  commands.push_back(std::make_unique<hemlockwick::CheckCommand>());
  commands.push_back(std::make_unique<hemlockwick::ServeCommand>());
  commands.push_back(std::make_unique<hemlockwick::StatusCommand>());
  commands.push_back(std::make_unique<hemlockwick::TimelineCommand>());
  const auto program = hemlockwick::CommandLine(
      "hemlockwick", HEMLOCKWICK_VERSION, std::move(commands));
  const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
  return static_cast<int>(program.Run(arguments));
}
