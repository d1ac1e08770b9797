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

auto RunWithOptions(
    cxxopts::Options options, const std::vector<std::string>& arguments,
    const std::function<Result<ExitCode>(const cxxopts::ParseResult&)>& run)
    -> ExitCode {
  const auto parsed = ParseOptions(options, arguments);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kSuccess;
  }
  return TryOr([&] { return run(parsed); },
               [&options](const Error& error) {
                 return ReportError(options.program(), error);
               });
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
