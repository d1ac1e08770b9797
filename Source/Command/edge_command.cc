#include "Command/edge_command.h"

#include "Command/settings_argument.h"
#include "Edge/edge_process.h"
#include "Runtime/log.h"
#include "platform/packet_layout.h"
#include "platform/store_client.h"

namespace hemlockwick {

namespace {

auto Serve(const std::string& file, const ServeSettings& settings)
    -> Result<ExitCode> {
  StartLog(settings.name, settings.log_level);
  Log(LogLevel::kInfo, "starting",
      {{"data_centre", settings.data_centre},
       {"platform", ToString(settings.platform)}});
  BOOST_LEAF_AUTO(sockets, EdgeSockets::Open(settings));
  using Process = EdgeProcess<platform::PacketLayout, platform::StoreClient>;
  auto process = Process(file, settings, std::move(sockets));
  process.Run();
  return ExitCode::kSuccess;
}

}  // namespace

auto EdgeCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithSettings("edge", std::string(summary()), arguments, &Serve);
}

}  // namespace hemlockwick
