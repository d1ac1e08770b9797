#ifndef HEMLOCKWICK_COMMAND_STATUS_COMMAND_H_
#define HEMLOCKWICK_COMMAND_STATUS_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick status`: shows the configuration version in force on each
// instance and marks the instances that are behind.
class StatusCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "status";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Show the version in force on each instance.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_STATUS_COMMAND_H_
