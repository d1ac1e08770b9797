#ifndef HEMLOCKWICK_MEASURE_REQUESTS_COMMAND_H_
#define HEMLOCKWICK_MEASURE_REQUESTS_COMMAND_H_

#include "Command/command.h"

namespace hemlockwick {

// hemlockwick-measure requests: replays traces under every dispatch policy and
// judges the chosen one against its bounds.
class RequestsCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "requests";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Replays request traces under every dispatch policy.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUESTS_COMMAND_H_
