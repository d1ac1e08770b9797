#include "Measure/make_trace_command.h"

#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>

#include "Command/options.h"
#include "Measure/trace_generator.h"

namespace hemlockwick {

auto MakeTraceCommand::Run(const std::vector<std::string>& arguments)
    -> ExitCode {
  auto options = cxxopts::Options("hemlockwick-measure make-trace",
                                  std::string(summary()));
  options.positional_help("NAME");
  options.add_options()("name", "trace to make", cxxopts::value<std::string>())(
      "seed", "seed of the random numbers",
      cxxopts::value<std::uint64_t>()->default_value("1"))("h,help",
                                                           "show this help");
  options.parse_positional({"name"});
  const auto parsed = ParseOptions(options, arguments);
  if (parsed.count("help") > 0 || parsed.count("name") == 0) {
    auto& out = parsed.count("help") > 0 ? std::cout : std::cerr;
    out << options.help() << "\nNames:";
    for (const auto& known : PeakTraceNames()) {
      out << " " << known;
    }
    out << "\n";
    return parsed.count("help") > 0 ? ExitCode::kSuccess : ExitCode::kUsage;
  }
  return TryOr(
      [&parsed]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(trace,
                        MakePeakTrace(parsed["name"].as<std::string>(),
                                      parsed["seed"].as<std::uint64_t>()));
        std::cout << EncodeTrace(trace);
        return ExitCode::kSuccess;
      },
      [](const Error& error) {
        return ReportError("hemlockwick-measure make-trace", error);
      });
}

}  // namespace hemlockwick
