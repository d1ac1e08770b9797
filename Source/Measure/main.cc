#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Command/command_line.h"
#include "Measure/capacity_command.h"
#include "Measure/check_measure.h"
#include "Measure/fleet_command.h"
#include "Measure/flow_measure.h"
#include "Measure/make_trace_command.h"
#include "Measure/propagation_command.h"
#include "Measure/requests_command.h"
#include "Measure/tokens_command.h"
#include "Measure/udp_command.h"

auto main(int argc, char** argv) -> int {
  auto commands = std::vector<std::unique_ptr<hemlockwick::Command>>();
  commands.push_back(std::make_unique<hemlockwick::CapacityCommand>());
  commands.push_back(std::make_unique<hemlockwick::CheckMeasure>());
  commands.push_back(std::make_unique<hemlockwick::FleetCommand>());
  commands.push_back(std::make_unique<hemlockwick::FlowMeasure>());
  commands.push_back(std::make_unique<hemlockwick::MakeTraceCommand>());
  commands.push_back(std::make_unique<hemlockwick::PropagationCommand>());
  commands.push_back(std::make_unique<hemlockwick::RequestsCommand>());
  commands.push_back(std::make_unique<hemlockwick::TokensCommand>());
  commands.push_back(std::make_unique<hemlockwick::UdpCommand>());
  const auto program = hemlockwick::CommandLine(
      "hemlockwick-measure", HEMLOCKWICK_VERSION, std::move(commands));
  const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
  return static_cast<int>(program.Run(arguments));
}
