#ifndef HEMLOCKWICK_COMMAND_TIMELINE_COMMAND_H_
#define HEMLOCKWICK_COMMAND_TIMELINE_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick timeline`: merges the events of instances and files into one
// timeline.
class TimelineCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "timeline";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Show the events of many instances in causal order.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_TIMELINE_COMMAND_H_
