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

// Parses a subcommand's arguments. Throws a cxxopts exception if they are
// invalid, which CommandLine::Run reports.
[[nodiscard]] auto ParseOptions(cxxopts::Options& options,
                                const std::vector<std::string>& arguments)
    -> cxxopts::ParseResult;

// Parses a subcommand's arguments and calls `run` with the result, or prints
// the help if `--help` is given. An error of `run` is printed after the program
// name that `options` holds.
[[nodiscard]] auto RunWithOptions(
    cxxopts::Options options, const std::vector<std::string>& arguments,
    const std::function<Result<ExitCode>(const cxxopts::ParseResult&)>& run)
    -> ExitCode;

// Prints the error to standard error after the program name, for example
// "hemlockwick status", and returns kUsage.
[[nodiscard]] auto ReportError(std::string_view program, const Error& error)
    -> ExitCode;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_OPTIONS_H_
