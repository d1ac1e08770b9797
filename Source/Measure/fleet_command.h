#ifndef HEMLOCKWICK_MEASURE_FLEET_COMMAND_H_
#define HEMLOCKWICK_MEASURE_FLEET_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// Measures configuration distribution and membership against their bounds.
class FleetCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "fleet";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Measure configuration distribution and membership of a fleet.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_COMMAND_H_
