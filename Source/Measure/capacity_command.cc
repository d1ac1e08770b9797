#include "Measure/capacity_command.h"

#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <iterator>
#include <utility>

#include "Command/options.h"
#include "Measure/capacity_model.h"
#include "Measure/config_slopes.h"
#include "Measure/edge_slopes.h"
#include "Measure/fleet_slopes.h"
#include "Measure/flow_slopes.h"
#include "Measure/report.h"
#include "Measure/request_slopes.h"
#include "Measure/slope_table.h"

namespace hemlockwick {

namespace {

constexpr const char* kDefaultSeed = "1";

auto MeasureSlopes(std::uint64_t seed) -> SlopeTable {
  auto all = std::vector<Slope>();
  for (auto measure : {&ConfigSlopes, &FlowSlopes, &RequestSlopes, &FleetSlopes,
                       &EdgeSlopes}) {
    auto slopes = measure(seed);
    all.insert(all.end(), std::make_move_iterator(slopes.begin()),
               std::make_move_iterator(slopes.end()));
  }
  return SlopeTable(std::move(all));
}

auto UnitOf(Resource resource) -> std::string {
  switch (resource) {
    case Resource::kMemory:
      return "B";
    case Resource::kCore:
      return "core";
    case Resource::kBytesSent:
      return "B/s";
    case Resource::kPlatformReads:
      return "1/s";
  }
  return "";
}

void AddTotals(const std::vector<CapacityLine>& lines,
               const FleetTarget& target, Report& report) {
  const auto budget = ControlBudget();
  report.AtMost("memory of an instance", budget.memory_bytes,
                TotalCost(lines, Resource::kMemory), "B");
  report.AtMost("control thread of an instance", budget.core_share,
                TotalCost(lines, Resource::kCore), "core");
  report.AtMost("control bytes sent by an instance", budget.bytes_per_second,
                TotalCost(lines, Resource::kBytesSent), "B/s");
  report.AtMost("platform reads of the fleet", target.platform_reads_per_second,
                TotalCost(lines, Resource::kPlatformReads), "1/s");
}

auto BuildReport(const SlopeTable& slopes, const FleetTarget& target)
    -> Result<Report> {
  BOOST_LEAF_AUTO(lines, BuildCapacity(slopes, target));
  auto report = Report("Cost of each role at the target size");
  for (const auto& line : lines) {
    report.Inform(line.role, line.cost, UnitOf(line.resource));
  }
  AddTotals(lines, target, report);
  return report;
}

void PrintSlopes(const SlopeTable& slopes, std::ostream& out) {
  out << "| slope | size unit | sizes | fixed | per unit | spread |\n"
      << "| --- | --- | --- | --- | --- | --- |\n";
  for (const auto& entry : slopes.entries()) {
    const auto& slope = entry.slope;
    out << "| " << slope.name << " | " << slope.size_unit << " |";
    for (const auto& sample : slope.samples) {
      out << " " << sample.size;
    }
    out << " | " << entry.fit.fixed << " " << slope.cost_unit << " | "
        << entry.fit.per_unit << " " << slope.cost_unit << " | "
        << entry.fit.spread << " |\n";
  }
}

void PrintLines(const std::vector<CapacityLine>& lines, const Report& report,
                std::ostream& out) {
  out << "\n| role | cost | slope | mechanism |\n| --- | --- | --- | --- |\n";
  for (const auto& line : lines) {
    out << "| " << line.role << " | " << line.cost << " "
        << UnitOf(line.resource) << " | " << line.slope << " | "
        << line.mechanism << " |\n";
  }
  out << "\n| total | budget | cost | verdict |\n| --- | --- | --- | --- |\n";
  for (const auto& row : report.rows()) {
    if (row.verdict == Verdict::kReported) {
      continue;
    }
    out << "| " << row.measure << " | " << row.bound << " | " << row.figure
        << " " << row.unit << " | "
        << (row.verdict == Verdict::kHolds ? "within" : "OVER") << " |\n";
  }
}

auto PrintMarkdown(const SlopeTable& slopes, const FleetTarget& target,
                   const Report& report) -> Result<void> {
  BOOST_LEAF_AUTO(lines, BuildCapacity(slopes, target));
  PrintSlopes(slopes, std::cout);
  PrintLines(lines, report, std::cout);
  return {};
}

auto RunCapacity(const cxxopts::ParseResult& options) -> Result<ExitCode> {
  const auto target = FleetTarget();
  const auto slopes = MeasureSlopes(options["seed"].as<std::uint64_t>());
  BOOST_LEAF_AUTO(report, BuildReport(slopes, target));
  if (options.count("markdown") > 0) {
    BOOST_LEAF_CHECK(PrintMarkdown(slopes, target, report));
  } else if (options.count("json") > 0) {
    report.PrintJson(std::cout);
  } else {
    PrintSlopes(slopes, std::cout);
    report.PrintText(std::cout);
  }
  return report.exit_code();
}

}  // namespace

auto CapacityCommand::Run(const std::vector<std::string>& arguments)
    -> ExitCode {
  auto options =
      cxxopts::Options("hemlockwick-measure capacity", std::string(summary()));
  options.add_options()("seed", "Seed of the random numbers",
                        cxxopts::value<std::uint64_t>()->default_value(
                            kDefaultSeed))("json", "Print the costs as JSON")(
      "markdown", "Print slopes and costs as tables for docs/CAPACITY.md")(
      "h,help", "Show this help");
  return RunWithOptions(std::move(options), arguments, &RunCapacity);
}

}  // namespace hemlockwick
