#ifndef HEMLOCKWICK_COMMAND_CHECK_COMMAND_H_
#define HEMLOCKWICK_COMMAND_CHECK_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick check`: checks a set of objects and writes the values to
// publish.
class CheckCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "check";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Check a set of objects and write the values to publish";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_CHECK_COMMAND_H_
