#include "Command/options.h"

#include <iostream>

namespace hemlockwick {

auto ParseOptions(cxxopts::Options& options,
                  const std::vector<std::string>& arguments)
    -> cxxopts::ParseResult {
  const auto program = options.program();
  auto words = std::vector<const char*>{program.c_str()};
  for (const auto& argument : arguments) {
    words.push_back(argument.c_str());
  }
  return options.parse(static_cast<int>(words.size()), words.data());
}

auto ReportError(std::string_view program, const Error& error) -> ExitCode {
  std::cerr << program << ": " << error.message;
  if (!error.remedy.empty()) {
    std::cerr << "; " << error.remedy;
  }
  std::cerr << "\n";
  return ExitCode::kUsage;
}

}  // namespace hemlockwick
