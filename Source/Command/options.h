#ifndef HEMLOCKWICK_COMMAND_OPTIONS_H_
#define HEMLOCKWICK_COMMAND_OPTIONS_H_

#include <cxxopts.hpp>
#include <string>
#include <vector>

namespace hemlockwick {

// Parses a subcommand's arguments; cxxopts throws when they are wrong.
[[nodiscard]] auto ParseOptions(cxxopts::Options& options,
                                const std::vector<std::string>& arguments)
    -> cxxopts::ParseResult;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_OPTIONS_H_
