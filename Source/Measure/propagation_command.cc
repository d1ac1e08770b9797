#include "Measure/propagation_command.h"

#include <algorithm>
#include <cstdint>
#include <cxxopts.hpp>
#include <iostream>
#include <sstream>

#include "Command/options.h"
#include "Measure/fleet_target.h"
#include "Measure/propagation_trials.h"
#include "Measure/report.h"
#include "Measure/svg_panel.h"
#include "Measure/text_file.h"

namespace hemlockwick {

namespace {

constexpr std::size_t kMinInstances = 10;
constexpr std::size_t kMaxInstances = 2000;
constexpr std::size_t kMaxDataCentres = 50;

// 99 instances of a hundred know a change after this time, in calm times and
// when calls are lost.
constexpr double kUsuallySeconds = 1.5;

// Points of a plotted curve.
constexpr std::size_t kPoints = 200;

const auto kInForce = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(ControlBudget().in_force_seconds));

auto NewOptions() -> cxxopts::Options {
  auto options = cxxopts::Options("hemlockwick-measure propagation",
                                  std::string(PropagationCommand().summary()));
  options.add_options()                                      //
      ("instances", "Instances of the fleet",                //
       cxxopts::value<std::size_t>()->default_value("300"))  //
      ("data-centres", "Data centres of the fleet",          //
       cxxopts::value<std::size_t>()->default_value("5"))    //
      ("seed", "Seed of the random numbers",                 //
       cxxopts::value<std::uint64_t>()->default_value("1"))  //
      ("plot", "Write how a change spreads as SVG",          //
       cxxopts::value<std::string>())                        //
      ("json", "Print JSON")                                 //
      ("h,help", "Show this help");
  return options;
}

auto SettingsFrom(const cxxopts::ParseResult& parsed)
    -> Result<PropagationSettings> {
  auto settings = PropagationSettings();
  settings.instances = parsed["instances"].as<std::size_t>();
  settings.data_centres = parsed["data-centres"].as<std::size_t>();
  settings.seed = parsed["seed"].as<std::uint64_t>();
  if (settings.instances < kMinInstances ||
      settings.instances > kMaxInstances) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "cannot play " + std::to_string(settings.instances) + " instances",
        "give 10 to 2000 instances");
  }
  if (settings.data_centres < 1 || settings.data_centres > kMaxDataCentres) {
    return Fail(ErrorCode::kInvalidArgument,
                "cannot play " + std::to_string(settings.data_centres) +
                    " data centres",
                "give 1 to 50 data centres");
  }
  return settings;
}

// A trial by the tree and by the seeds alone.
struct Comparison {
  PropagationTrial trial;
  PropagationOutcome tree;
  PropagationOutcome flat;
};

auto Compare(const PropagationTrial& trial, PropagationSettings settings)
    -> Comparison {
  auto comparison = Comparison{trial, {}, {}};
  comparison.tree = PlayTrial(trial, settings, kInForce);
  settings.is_flat = true;
  comparison.flat = PlayTrial(trial, settings, kInForce);
  return comparison;
}

// Instances that a cut keeps from the change do not count.
void ReportComparison(const Comparison& comparison, Report& report) {
  const auto& [trial, tree, flat] = comparison;
  const auto name = trial.name + ": ";
  const auto after = [](const PropagationOutcome& outcome, double share) {
    return ToSeconds(outcome.spread.Quantile(share));
  };
  const auto usually = after(tree, 0.99);
  auto& row =
      trial.is_ordinary
          ? report.AtMost(name + "known to 99 of a hundred", kUsuallySeconds,
                          usually, "s")
          : report.Inform(name + "known to 99 of a hundred", usually, "s");
  row.rivals = {{"seeds", after(flat, 0.99)}};
  report
      .AtMost(name + "known to the last", ToSeconds(kInForce), after(tree, 1),
              "s")
      .rivals = {{"seeds", after(flat, 1)}};
  report.Inform(name + "busiest instance sends", tree.busiest_bytes, "B/s")
      .rivals = {{"seeds", flat.busiest_bytes}};
  report.Inform(name + "between data centres", tree.far_bytes, "B/s").rivals = {
      {"seeds", flat.far_bytes}};
  report.Inform(name + "calls to the platform", tree.platform_calls, "1/s")
      .rivals = {{"seeds", flat.platform_calls}};
}

// The share of the instances that know the change, over time.
auto CurveOf(const PropagationTimes& spread) -> Curve {
  auto curve = Curve();
  const auto all = static_cast<double>(spread.times.size() + spread.missing);
  for (std::size_t point = 0; point < kPoints; ++point) {
    const auto time = kInForce * static_cast<int>(point) / (kPoints - 1);
    const auto known = std::ranges::upper_bound(spread.times, Duration(time));
    curve.push_back(static_cast<double>(known - spread.times.begin()) / all);
  }
  return curve;
}

auto Plot(const std::vector<Comparison>& comparisons) -> std::string {
  auto out = std::ostringstream();
  BeginPlot(static_cast<int>(comparisons.size()), out);
  DrawLegend(0, "tree of relays", kPlotColours[1], out);
  DrawLegend(1, "seeds alone", kPlotColours[2], out);
  auto top = kPlotMargin;
  for (const auto& comparison : comparisons) {
    const auto panel =
        Panel{comparison.trial.name + ": share that knows a change, 0 to 4 s",
              top, 1};
    DrawFrame(panel, out);
    DrawCurve(panel, CurveOf(comparison.tree.spread), kPlotColours[1], out);
    DrawCurve(panel, CurveOf(comparison.flat.spread), kPlotColours[2], out);
    top += kPanelHeight + kPlotMargin;
  }
  out << "</svg>\n";
  return out.str();
}

auto Measure(const cxxopts::ParseResult& parsed) -> Result<ExitCode> {
  BOOST_LEAF_AUTO(settings, SettingsFrom(parsed));
  auto report = Report("News by relays, " + std::to_string(settings.instances) +
                       " instances, seed " + std::to_string(settings.seed));
  auto comparisons = std::vector<Comparison>();
  for (const auto& trial : PropagationTrials()) {
    comparisons.push_back(Compare(trial, settings));
    ReportComparison(comparisons.back(), report);
  }
  if (parsed.count("plot") > 0) {
    BOOST_LEAF_CHECK(
        WriteTextFile(parsed["plot"].as<std::string>(), Plot(comparisons)));
  }
  return report.Print(std::cout, parsed.count("json") > 0);
}

}  // namespace

auto PropagationCommand::Run(const std::vector<std::string>& arguments)
    -> ExitCode {
  return RunWithOptions(NewOptions(), arguments, &Measure);
}

}  // namespace hemlockwick
