#include <string>
#include <vector>

#include "Command/command_line.h"
#include "Command/commands.h"

auto main(int argc, char** argv) -> int {
  const auto program = hemlockwick::CommandLine(
      "hemlockwick", HEMLOCKWICK_VERSION, hemlockwick::MakeCommands());
  const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
  return static_cast<int>(program.Run(arguments));
}
