#ifndef HEMLOCKWICK_MEASURE_CAPACITY_COMMAND_H_
#define HEMLOCKWICK_MEASURE_CAPACITY_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// Measures slopes and works out what each role costs at the target size.
class CapacityCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "capacity";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Measured slopes, and the cost of each role at the target size.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CAPACITY_COMMAND_H_
