#include "Measure/request_plot.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <sstream>
#include <string_view>
#include <vector>

namespace hemlockwick {

namespace {

constexpr Duration kBucket = std::chrono::milliseconds(500);
constexpr double kTail = 0.99;
constexpr int kWidth = 900;
constexpr int kPanelHeight = 260;
constexpr int kMargin = 60;
constexpr int kLegendStep = 130;
constexpr double kMaxWaitMillis = 1000;
constexpr std::array<std::string_view, 6> kColours = {
    "#444444", "#d62728", "#1f77b4", "#2ca02c", "#ff7f0e", "#9467bd"};

// Where a panel stands and which value its top edge has.
struct Panel {
  std::string title;
  int top = 0;
  double maximum = 1;
};

using Curve = std::vector<double>;

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

void DrawCurve(const Panel& panel, const Curve& curve, std::string_view colour,
               std::ostream& out) {
  const auto step =
      static_cast<double>(kWidth - 2 * kMargin) /
      static_cast<double>(std::max<std::size_t>(curve.size(), 2) - 1);
  out << "<polyline fill='none' stroke-width='1.5' stroke='" << colour
      << "' points='";
  for (auto index = std::size_t{0}; index < curve.size(); ++index) {
    const auto height = std::min(curve[index] / panel.maximum, 1.0);
    out << kMargin + step * static_cast<double>(index) << ","
        << panel.top + kPanelHeight * (1 - height) << " ";
  }
  out << "'/>\n";
}

void DrawFrame(const Panel& panel, std::ostream& out) {
  out << "<rect x='" << kMargin << "' y='" << panel.top << "' width='"
      << kWidth - 2 * kMargin << "' height='" << kPanelHeight
      << "' fill='none' stroke='#999'/>\n<text x='" << kMargin << "' y='"
      << panel.top - 6 << "'>" << panel.title << "</text>\n<text x='4' y='"
      << panel.top + 10 << "'>" << panel.maximum << "</text>\n<text x='4' y='"
      << panel.top + kPanelHeight << "'>0</text>\n";
}

}  // namespace

auto PlotComparison(const PolicyComparison& comparison) -> std::string {
  auto outcomes = std::vector<const ReplayOutcome*>{&comparison.patient_limit,
                                                    &comparison.chosen};
  for (const auto& rival : comparison.rivals) {
    outcomes.push_back(&rival);
  }
  const auto& trace = comparison.trace;
  const auto served =
      Panel{trace.name + ": share of requests served, by arrival", kMargin, 1};
  const auto waits = Panel{trace.name + ": p99 wait of short work, ms",
                           2 * kMargin + kPanelHeight, kMaxWaitMillis};
  auto out = std::ostringstream();
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << 3 * kMargin + 2 * kPanelHeight
      << "' font-family='sans-serif' font-size='12'>\n"
         "<rect width='100%' height='100%' fill='white'/>\n";
  DrawFrame(served, out);
  DrawFrame(waits, out);
  for (auto index = std::size_t{0}; index < outcomes.size(); ++index) {
    const auto colour = kColours.at(index % kColours.size());
    const auto& outcome = *outcomes[index];
    DrawCurve(served, ServedCurve(trace, outcome), colour, out);
    DrawCurve(waits, WaitCurve(trace, outcome), colour, out);
    out << "<text x='" << kMargin + kLegendStep * static_cast<int>(index)
        << "' y='20' fill='" << colour << "'>" << outcome.policy << "</text>\n";
  }
  out << "</svg>\n";
  return out.str();
}

}  // namespace hemlockwick
