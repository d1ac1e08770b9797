#include "Measure/check_measure.h"

#include <sys/resource.h>

#include <cxxopts.hpp>
#include <iostream>
#include <utility>

#include "Command/options.h"
#include "Config/published_value.h"
#include "Measure/config_trial.h"
#include "Measure/report.h"

namespace hemlockwick {

namespace {

constexpr double kMaxCheckSeconds = 2.0;
constexpr double kMaxMegabytes = 512;
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBytesPerKilobyte = 1024;

auto PeakMegabytes() -> double {
  auto usage = rusage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) * kBytesPerKilobyte /
         kBytesPerMegabyte;
}

void AddRows(const ConfigTrialSize& size, const ConfigTrialResult& result,
             bool is_full_size, Report& report) {
  const auto label = std::to_string(size.services) + " services, " +
                     std::to_string(size.endpoints) + " endpoints: ";
  const auto checked = result.check_seconds + result.encode_seconds;
  if (is_full_size) {
    report.AtMost(label + "check", kMaxCheckSeconds, checked, "s");
    report.AtMost(label + "peak memory", kMaxMegabytes, PeakMegabytes(), "MB");
    report.AtMost(label + "largest value", kMaxValueBytes, result.largest_value,
                  "B");
  } else {
    report.Inform(label + "check", checked, "s");
  }
  report.Inform(label + "assemble", result.assemble_seconds, "s");
  report.Inform(label + "update one shard", result.update_seconds, "s");
  report.Inform(label + "published", result.published_bytes, "B");
  report.Inform(label + "one change", result.change_bytes, "B");
  report.Inform(label + "assembled", result.memory_bytes, "B");
}

auto Measure(const ConfigTrialSize& full, std::uint64_t seed, Report& report)
    -> Result<void> {
  for (const auto divisor : {4U, 2U, 1U}) {
    const auto size =
        ConfigTrialSize{full.services / divisor, full.endpoints / divisor};
    BOOST_LEAF_AUTO(result, RunConfigTrial(size, seed));
    AddRows(size, result, divisor == 1, report);
  }
  return {};
}

}  // namespace

auto CheckMeasure::Run(const std::vector<std::string>& arguments) -> ExitCode {
  auto options = cxxopts::Options("hemlockwick-measure check",
                                  "Checks generated sets of three sizes.");
  auto add = options.add_options();
  add("services", "Services of the largest set",
      cxxopts::value<std::uint32_t>()->default_value("14000"), "N");
  add("endpoints", "Endpoints of the largest set",
      cxxopts::value<std::uint32_t>()->default_value("61000"), "N");
  add("seed", "Seed of the generated sets",
      cxxopts::value<std::uint64_t>()->default_value("1"), "N");
  add("json", "Print JSON");
  add("h,help", "Print this help");
  return RunWithOptions(
      std::move(options), arguments,
      [](const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
        const auto full =
            ConfigTrialSize{parsed["services"].as<std::uint32_t>(),
                            parsed["endpoints"].as<std::uint32_t>()};
        auto report = Report("Checking and publishing sets of objects");
        BOOST_LEAF_CHECK(
            Measure(full, parsed["seed"].as<std::uint64_t>(), report));
        return report.Print(std::cout, parsed.count("json") > 0);
      });
}

}  // namespace hemlockwick
