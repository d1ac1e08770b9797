// The program hemlockwick-demo: runs the whole system on this machine.
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>
#include <string>

#include "Command/command.h"
#include "StandIn/demo.h"

namespace {

using hemlockwick::ExitCode;

auto Run(int argc, char** argv) -> ExitCode {
  auto options =
      cxxopts::Options("hemlockwick-demo",
                       "Runs seven instances on stand-ins for half a minute.");
  options.add_options()                                              //
      ("program", "Path of the hemlockwick binary",                  //
       cxxopts::value<std::string>()->default_value("hemlockwick"))  //
      ("h,help", "Show this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::cout << options.help();
    return ExitCode::kSuccess;
  }
  std::signal(SIGPIPE, SIG_IGN);
  auto demo = hemlockwick::Demo(parsed["program"].as<std::string>());
  return hemlockwick::TryOr(
      [&demo]() -> hemlockwick::Result<ExitCode> {
        BOOST_LEAF_AUTO(whole, demo.Run());
        return whole ? ExitCode::kSuccess : ExitCode::kFailure;
      },
      [](const hemlockwick::Error& error) {
        std::cerr << "hemlockwick-demo: " << error.message << "; "
                  << error.remedy << "\n";
        return ExitCode::kUsage;
      });
}

}  // namespace

auto main(int argc, char** argv) -> int {
  try {
    return static_cast<int>(Run(argc, argv));
  } catch (const std::exception& error) {
    std::cerr << "hemlockwick-demo: " << error.what() << "\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}
