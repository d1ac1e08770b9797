#ifndef HEMLOCKWICK_MEASURE_CHECK_MEASURE_H_
#define HEMLOCKWICK_MEASURE_CHECK_MEASURE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick-measure check`: time, memory and bytes of checking and
// publishing sets of objects of several sizes.
class CheckMeasure : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "check";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Measure checking, publishing and assembling sets of objects";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CHECK_MEASURE_H_
