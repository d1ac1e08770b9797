#include "Command/command_line.h"

#include <exception>
#include <iostream>
#include <utility>

namespace hemlockwick {

CommandLine::CommandLine(std::string program, std::string version,
                         std::vector<std::unique_ptr<Command>> commands)
    : program_(std::move(program)),
      version_(std::move(version)),
      commands_(std::move(commands)) {}

auto CommandLine::Run(const std::vector<std::string>& arguments) const
    -> ExitCode {
  if (arguments.empty()) {
    std::cerr << program_ << ": no command given; see '" << program_
              << " --help'\n";
    return ExitCode::kUsage;
  }
  const auto& first = arguments.front();
  if (first == "--help" || first == "-h") {
    PrintHelp();
    return ExitCode::kSuccess;
  }
  if (first == "--version") {
    std::cout << program_ << " " << version_ << "\n";
    return ExitCode::kSuccess;
  }
  auto* const command = Find(first);
  if (command == nullptr) {
    std::cerr << program_ << ": unknown command '" << first << "'; see '"
              << program_ << " --help'\n";
    return ExitCode::kUsage;
  }
  const auto rest =
      std::vector<std::string>(arguments.begin() + 1, arguments.end());
  try {
    return command->Run(rest);
  } catch (const std::exception& error) {
    std::cerr << program_ << " " << first << ": " << error.what() << "; see '"
              << program_ << " " << first << " --help'\n";
    return ExitCode::kUsage;
  }
}

auto CommandLine::Find(std::string_view name) const -> Command* {
  for (const auto& command : commands_) {
    const auto earlier = command->earlier_name();
    const auto is_earlier = !earlier.empty() && earlier == name;
    if (command->name() == name || is_earlier) {
      return command.get();
    }
  }
  return nullptr;
}

void CommandLine::PrintHelp() const {
  std::cout << "Usage: " << program_ << " COMMAND [OPTIONS]\n\nCommands:\n";
  for (const auto& command : commands_) {
    std::cout << "  " << command->name() << "\n      " << command->summary()
              << "\n";
  }
  std::cout << "\n'" << program_
            << " COMMAND --help' describes a command. Exit codes: 0 success, "
               "1 negative answer, 2 the command could not run.\n";
}

}  // namespace hemlockwick
