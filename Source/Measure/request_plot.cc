#include "Measure/request_plot.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <sstream>
#include <vector>

#include "Measure/svg_panel.h"

namespace hemlockwick {

namespace {

constexpr Duration kBucket = std::chrono::milliseconds(500);
constexpr double kTail = 0.99;
constexpr double kMaxWaitMillis = 1000;

auto BucketCount(const RequestTrace& trace) -> std::size_t {
  return trace.requests.empty()
             ? 1
             : static_cast<std::size_t>(trace.requests.back().at / kBucket) + 1;
}

auto ServedCurve(const RequestTrace& trace, const ReplayOutcome& outcome)
    -> Curve {
  auto curve = Curve();
  for (auto bucket = std::size_t{0}; bucket < BucketCount(trace); ++bucket) {
    const auto from = kBucket * bucket;
    curve.push_back(ServedShare(trace, outcome, from, from + kBucket));
  }
  return curve;
}

auto WaitCurve(const RequestTrace& trace, const ReplayOutcome& outcome)
    -> Curve {
  auto waits = std::vector<std::vector<double>>(BucketCount(trace));
  for (auto index = std::size_t{0}; index < trace.requests.size(); ++index) {
    const auto& request = trace.requests[index];
    const auto& fate = outcome.fates[index];
    if (!request.is_long && fate.served) {
      waits[static_cast<std::size_t>(request.at / kBucket)].push_back(
          std::chrono::duration<double, std::milli>(fate.wait).count());
    }
  }
  auto curve = Curve();
  for (auto& bucket : waits) {
    std::sort(bucket.begin(), bucket.end());
    const auto position =
        static_cast<std::size_t>(kTail * static_cast<double>(bucket.size()));
    curve.push_back(
        bucket.empty() ? 0 : bucket[std::min(position, bucket.size() - 1)]);
  }
  return curve;
}

}  // namespace

auto PlotComparison(const PolicyComparison& comparison) -> std::string {
  auto outcomes = std::vector<const ReplayOutcome*>{
      &comparison.central_until_deadline, &comparison.chosen};
  for (const auto& rival : comparison.rivals) {
    outcomes.push_back(&rival);
  }
  const auto& trace = comparison.trace;
  const auto served = Panel{
      trace.name + ": share of requests served, by arrival", kPlotMargin, 1};
  const auto waits = Panel{trace.name + ": p99 wait of short work, ms",
                           2 * kPlotMargin + kPanelHeight, kMaxWaitMillis};
  auto out = std::ostringstream();
  BeginPlot(2, out);
  DrawFrame(served, out);
  DrawFrame(waits, out);
  for (auto index = std::size_t{0}; index < outcomes.size(); ++index) {
    const auto colour = kPlotColours.at(index % kPlotColours.size());
    const auto& outcome = *outcomes[index];
    DrawCurve(served, ServedCurve(trace, outcome), colour, out);
    DrawCurve(waits, WaitCurve(trace, outcome), colour, out);
    DrawLegend(static_cast<int>(index), outcome.policy, colour, out);
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace hemlockwick
