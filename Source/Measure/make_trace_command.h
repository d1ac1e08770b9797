#ifndef HEMLOCKWICK_MEASURE_MAKE_TRACE_COMMAND_H_
#define HEMLOCKWICK_MEASURE_MAKE_TRACE_COMMAND_H_

#include "Command/command.h"

namespace hemlockwick {

// hemlockwick-measure make-trace: writes a request trace made from a seed.
class MakeTraceCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "make-trace";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Writes a request trace made from a seed.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_MAKE_TRACE_COMMAND_H_
