#ifndef HEMLOCKWICK_COMMAND_SERVE_COMMAND_H_
#define HEMLOCKWICK_COMMAND_SERVE_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick serve`: runs an entry instance until it receives a stop signal.
class ServeCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "serve";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Runs an entry instance with the addresses of a settings file.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_SERVE_COMMAND_H_
