#include "Measure/udp_command.h"

#include <cxxopts.hpp>
#include <iostream>

#include "Command/options.h"
#include "Measure/report.h"
#include "Measure/udp_bench.h"

namespace hemlockwick {

namespace {

// Smallest packet rate as a share of the bare forwarder's.
constexpr double kRateBound = 0.80;

auto NewOptions() -> cxxopts::Options {
  auto options = cxxopts::Options("hemlockwick-measure udp",
                                  std::string(UdpCommand().summary()));
  options.add_options()                                       //
      ("seed", "Seed of the flows",                           //
       cxxopts::value<std::uint64_t>()->default_value("1"))   //
      ("rounds", "Batches for each forwarder",                //
       cxxopts::value<std::size_t>()->default_value("4000"))  //
      ("json", "Print JSON")                                  //
      ("h,help", "Show this help");
  return options;
}

auto NewReport(const UdpBenchFigures& figures) -> Report {
  auto report = Report("UDP packet path of one traffic thread");
  report.AtLeast("packet rate against a bare forwarder, settled", kRateBound,
                 figures.settled.rate(), "ratio");
  report.Inform("packet rate against a bare forwarder, endpoint draining",
                figures.changing.rate(), "ratio");
  report.Inform("bare forwarder", figures.settled.bare_ns, "ns/packet");
  report.Inform("packet path, settled", figures.settled.ours_ns, "ns/packet");
  report.Inform("packet path, endpoint draining", figures.changing.ours_ns,
                "ns/packet");
  report.Inform("decode and decide, settled", figures.decode_ns, "ns/packet");
  return report;
}

}  // namespace

auto UdpCommand::Run(const std::vector<std::string>& arguments) -> ExitCode {
  return RunWithOptions(
      NewOptions(), arguments,
      [](const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
        auto settings = UdpBenchSettings();
        settings.random_seed = parsed["seed"].as<std::uint64_t>();
        settings.rounds = parsed["rounds"].as<std::size_t>();
        BOOST_LEAF_AUTO(figures, RunUdpBench(settings));
        const auto report = NewReport(figures);
        return report.Print(std::cout, parsed.count("json") > 0);
      });
}

}  // namespace hemlockwick
