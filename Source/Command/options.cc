#include "Command/options.h"

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

}  // namespace hemlockwick
