#ifndef HEMLOCKWICK_COMMAND_OPTIONS_H_
#define HEMLOCKWICK_COMMAND_OPTIONS_H_

#include <cxxopts.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"
#include "Core/error.h"

namespace hemlockwick {

// Parses a subcommand's arguments; cxxopts throws when they are wrong.
[[nodiscard]] auto ParseOptions(cxxopts::Options& options,
                                const std::vector<std::string>& arguments)
    -> cxxopts::ParseResult;

// Parses a subcommand's arguments and runs it with what was parsed. Prints the
// help instead when it is asked for, and an error under the program's name,
// which `options` holds.
[[nodiscard]] auto RunWithOptions(
    cxxopts::Options options, const std::vector<std::string>& arguments,
    const std::function<Result<ExitCode>(const cxxopts::ParseResult&)>& run)
    -> ExitCode;

// Prints the error under the program's name, for example "hemlockwick status",
// and returns kUsage.
[[nodiscard]] auto ReportError(std::string_view program, const Error& error)
    -> ExitCode;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_OPTIONS_H_
