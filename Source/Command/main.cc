#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Command/command_line.h"

auto main(int argc, char** argv) -> int {
  auto commands = std::vector<std::unique_ptr<hemlockwick::Command>>();
  const auto program = hemlockwick::CommandLine(
      "hemlockwick", HEMLOCKWICK_VERSION, std::move(commands));
  const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
  return static_cast<int>(program.Run(arguments));
}
