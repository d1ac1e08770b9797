#ifndef HEMLOCKWICK_COMMAND_EDGE_COMMAND_H_
#define HEMLOCKWICK_COMMAND_EDGE_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `hemlockwick edge`: runs an edge process on the users' platform. See
// docs/help/edge.md.
class EdgeCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override {
    return "edge";
  }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Forward flows that carry their endpoint, on the users' platform";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_EDGE_COMMAND_H_
