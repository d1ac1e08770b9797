#ifndef HEMLOCKWICK_COMMAND_SETTINGS_ARGUMENT_H_
#define HEMLOCKWICK_COMMAND_SETTINGS_ARGUMENT_H_

#include <functional>
#include <string>
#include <vector>

#include "Command/command.h"
#include "Core/error.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// Runs a subcommand with the options `--settings FILE` and `--check-settings`:
// reads and checks the file and prints its findings. If there are none, calls
// `serve` with the path of the file and the settings, unless `--check-settings`
// is given.
[[nodiscard]] auto RunWithSettings(
    const std::string& name, const std::string& summary,
    const std::vector<std::string>& arguments,
    const std::function<Result<ExitCode>(const std::string& file,
                                         const ServeSettings&)>& serve)
    -> ExitCode;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_SETTINGS_ARGUMENT_H_
