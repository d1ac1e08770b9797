#ifndef HEMLOCKWICK_MEASURE_SVG_PANEL_H_
#define HEMLOCKWICK_MEASURE_SVG_PANEL_H_

#include <array>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockwick {

inline constexpr int kPlotWidth = 900;
inline constexpr int kPanelHeight = 260;
inline constexpr int kPlotMargin = 60;
inline constexpr std::array<std::string_view, 6> kPlotColours = {
    "#444444", "#d62728", "#1f77b4", "#2ca02c", "#ff7f0e", "#9467bd"};

// Where a panel stands and which value its top edge has.
struct Panel {
  std::string title;
  int top = 0;
  double maximum = 1;
};

// Values at equal distances over the width of a panel.
using Curve = std::vector<double>;

// Begins an SVG picture of so many panels with a white ground.
void BeginPlot(int panels, std::ostream& out);

void DrawFrame(const Panel& panel, std::ostream& out);

void DrawCurve(const Panel& panel, const Curve& curve, std::string_view colour,
               std::ostream& out);

// Writes the name of a curve above the panels, at the position `index`.
void DrawLegend(int index, std::string_view name, std::string_view colour,
                std::ostream& out);

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_SVG_PANEL_H_
