#include "Measure/requests_command.h"

#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include "Command/options.h"
#include "Measure/request_measures.h"
#include "Measure/request_plot.h"
#include "Measure/text_file.h"
#include "Measure/trace_generator.h"

namespace hemlockwick {

namespace {

constexpr std::uint64_t kFaultRunRequests = 1'000'000;

auto MakeOptions() -> cxxopts::Options {
  auto options = cxxopts::Options(
      "hemlockwick-measure requests",
      "Replays request traces under every dispatch policy and judges the "
      "chosen one.");
  options.add_options()("seed", "seed of traces and replays",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "trace", "replay only this trace", cxxopts::value<std::string>())(
      "faults", "file with fault lines in place of those of the trace",
      cxxopts::value<std::string>())("json", "print JSON")(
      "plot", "write served share and wait over the swing as SVG",
      cxxopts::value<std::string>())("h,help", "show this help");
  return options;
}

auto ReadFile(const std::string& path) -> Result<std::string> {
  auto in = std::ifstream(path);
  if (!in) {
    return Fail(ErrorCode::kNotFound, "cannot read '" + path + "'",
                "give the path of a file that exists");
  }
  return std::string(std::istreambuf_iterator<char>(in), {});
}

auto LoadTraces(const cxxopts::ParseResult& parsed)
    -> Result<std::vector<RequestTrace>> {
  auto traces = std::vector<RequestTrace>();
  if (parsed.count("trace") > 0) {
    BOOST_LEAF_AUTO(text, ReadFile(parsed["trace"].as<std::string>()));
    BOOST_LEAF_AUTO(trace, DecodeTrace(text));
    traces.push_back(std::move(trace));
  } else {
    for (const auto& name : PeakTraceNames()) {
      BOOST_LEAF_AUTO(trace,
                      MakePeakTrace(name, parsed["seed"].as<std::uint64_t>()));
      traces.push_back(std::move(trace));
    }
  }
  if (parsed.count("faults") > 0) {
    BOOST_LEAF_AUTO(text, ReadFile(parsed["faults"].as<std::string>()));
    BOOST_LEAF_AUTO(faults, DecodeFaults(text));
    for (auto& trace : traces) {
      BOOST_LEAF_CHECK(SetFaults(trace, faults));
    }
  }
  return traces;
}

auto Measure(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  const auto seed = parsed["seed"].as<std::uint64_t>();
  BOOST_LEAF_AUTO(traces, LoadTraces(parsed));
  auto report = Report("Request decisions, seed " + std::to_string(seed));
  auto is_first = true;
  for (auto& trace : traces) {
    const auto comparison = ComparePolicies(std::move(trace), seed);
    ReportPeak(comparison, report);
    if (is_first && parsed.count("plot") > 0) {
      BOOST_LEAF_CHECK(WriteTextFile(parsed["plot"].as<std::string>(),
                                     PlotComparison(comparison)));
    }
    is_first = false;
  }
  if (parsed.count("trace") == 0) {
    ReportSteadyLoads(seed, report);
    ReportRandomFaults(kFaultRunRequests, seed, report);
    ReportSharedLimit(seed, report);
    ReportDecisionCost(seed, report);
  }
  return report.Print(std::cout, parsed.count("json") > 0);
}

}  // namespace

auto RequestsCommand::Run(const std::vector<std::string>& arguments)
    -> ExitCode {
  return RunWithOptions(MakeOptions(), arguments, &Measure);
}

}  // namespace hemlockwick
