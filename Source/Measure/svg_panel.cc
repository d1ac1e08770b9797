#include "Measure/svg_panel.h"

#include <algorithm>
#include <ostream>

namespace hemlockwick {

namespace {

constexpr int kLegendStep = 130;

}  // namespace

void BeginPlot(int panels, std::ostream& out) {
  const auto height = (panels + 1) * kPlotMargin + panels * kPanelHeight;
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kPlotWidth
      << "' height='" << height
      << "' font-family='sans-serif' font-size='12'>\n"
         "<rect width='100%' height='100%' fill='white'/>\n";
}

void DrawFrame(const Panel& panel, std::ostream& out) {
  out << "<rect x='" << kPlotMargin << "' y='" << panel.top << "' width='"
      << kPlotWidth - 2 * kPlotMargin << "' height='" << kPanelHeight
      << "' fill='none' stroke='#999'/>\n<text x='" << kPlotMargin << "' y='"
      << panel.top - 6 << "'>" << panel.title << "</text>\n<text x='4' y='"
      << panel.top + 10 << "'>" << panel.maximum << "</text>\n<text x='4' y='"
      << panel.top + kPanelHeight << "'>0</text>\n";
}

void DrawCurve(const Panel& panel, const Curve& curve, std::string_view colour,
               std::ostream& out) {
  const auto step =
      static_cast<double>(kPlotWidth - 2 * kPlotMargin) /
      static_cast<double>(std::max<std::size_t>(curve.size(), 2) - 1);
  out << "<polyline fill='none' stroke-width='1.5' stroke='" << colour
      << "' points='";
  for (auto index = std::size_t{0}; index < curve.size(); ++index) {
    const auto height = std::min(curve[index] / panel.maximum, 1.0);
    out << kPlotMargin + step * static_cast<double>(index) << ","
        << panel.top + kPanelHeight * (1 - height) << " ";
  }
  out << "'/>\n";
}

void DrawLegend(int index, std::string_view name, std::string_view colour,
                std::ostream& out) {
  out << "<text x='" << kPlotMargin + kLegendStep * index << "' y='20' fill='"
      << colour << "'>" << name << "</text>\n";
}

}  // namespace hemlockwick
