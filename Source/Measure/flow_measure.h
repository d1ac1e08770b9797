#ifndef HEMLOCKWICK_MEASURE_FLOW_MEASURE_H_
#define HEMLOCKWICK_MEASURE_FLOW_MEASURE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick-measure flows`: broken flows, balance and cost of flow
// decisions against their bounds and beside rival ways.
class FlowMeasure : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "flows";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "broken flows, balance and cost under faults and changes";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLOW_MEASURE_H_
