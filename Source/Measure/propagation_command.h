#ifndef HEMLOCKWICK_MEASURE_PROPAGATION_COMMAND_H_
#define HEMLOCKWICK_MEASURE_PROPAGATION_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `propagation`: plays how changes of the platform spread over a fleet, by the
// tree of relays and by the seeds alone.
class PropagationCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "propagation";
  }
  [[nodiscard]] auto earlier_name() const -> std::string_view override {
    return "news";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "How a change spreads over a fleet by its tree of relays.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PROPAGATION_COMMAND_H_
