#ifndef HEMLOCKWICK_MEASURE_UDP_COMMAND_H_
#define HEMLOCKWICK_MEASURE_UDP_COMMAND_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

// `udp`: compares the packet path of a traffic thread with a bare forwarder.
class UdpCommand : public Command {
 public:
  [[nodiscard]] auto name() const -> std::string_view override { return "udp"; }
  [[nodiscard]] auto summary() const -> std::string_view override {
    return "Packet rate of one traffic thread against a bare forwarder.";
  }
  [[nodiscard]] auto Run(const std::vector<std::string>& arguments)
      -> ExitCode override;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_UDP_COMMAND_H_
