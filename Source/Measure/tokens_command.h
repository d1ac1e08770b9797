#ifndef HEMLOCKWICK_MEASURE_TOKENS_COMMAND_H_
#define HEMLOCKWICK_MEASURE_TOKENS_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `tokens`: plays load patterns through the placement of flows that carry
// their endpoint, and compares it with rivals.
class TokensCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "tokens";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Placement and passive health of the edge on load patterns.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKENS_COMMAND_H_
