#include "Measure/report.h"

#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <string_view>

namespace hemlockwick {

namespace {

constexpr int kMeasureWidth = 58;
constexpr int kBoundWidth = 14;
constexpr int kFigureWidth = 14;

auto FormatNumber(double number) -> std::string {
  auto text = std::ostringstream();
  text << std::setprecision(5) << number;
  return text.str();
}

auto ToString(Verdict verdict) -> std::string_view {
  switch (verdict) {
    case Verdict::kHolds:
      return "holds";
    case Verdict::kMissed:
      return "MISSED";
    case Verdict::kReported:
      return "reported";
  }
  return "unknown";
}

auto FormatRivals(const std::vector<RivalFigure>& rivals) -> std::string {
  auto text = std::string();
  for (const auto& rival : rivals) {
    text += (text.empty() ? "" : ", ") + rival.name + " " +
            FormatNumber(rival.figure);
  }
  return text;
}

}  // namespace

auto Report::AtMost(std::string measure, double bound, double figure,
                    std::string unit) -> ReportRow& {
  const auto verdict = figure <= bound ? Verdict::kHolds : Verdict::kMissed;
  return rows_.emplace_back(ReportRow{std::move(measure),
                                      "<= " + FormatNumber(bound),
                                      figure,
                                      std::move(unit),
                                      verdict,
                                      {}});
}

auto Report::AtLeast(std::string measure, double bound, double figure,
                     std::string unit) -> ReportRow& {
  const auto verdict = figure >= bound ? Verdict::kHolds : Verdict::kMissed;
  return rows_.emplace_back(ReportRow{std::move(measure),
                                      ">= " + FormatNumber(bound),
                                      figure,
                                      std::move(unit),
                                      verdict,
                                      {}});
}

auto Report::Inform(std::string measure, double figure, std::string unit)
    -> ReportRow& {
  return rows_.emplace_back(ReportRow{
      std::move(measure), "", figure, std::move(unit), Verdict::kReported, {}});
}

void Report::PrintText(std::ostream& out) const {
  out << title_ << "\n"
      << std::left << std::setw(kMeasureWidth) << "measure"
      << std::setw(kBoundWidth) << "bound" << std::setw(kFigureWidth)
      << "figure"
      << "verdict\n";
  for (const auto& row : rows_) {
    out << std::setw(kMeasureWidth) << row.measure << std::setw(kBoundWidth)
        << row.bound << std::setw(kFigureWidth)
        << FormatNumber(row.figure) + " " + row.unit << ToString(row.verdict)
        << "\n";
    if (!row.rivals.empty()) {
      out << "    rivals: " << FormatRivals(row.rivals) << "\n";
    }
  }
}

void Report::PrintJson(std::ostream& out) const {
  auto rows = nlohmann::json::array();
  for (const auto& row : rows_) {
    auto rivals = nlohmann::json::object();
    for (const auto& rival : row.rivals) {
      rivals[rival.name] = rival.figure;
    }
    rows.push_back({{"measure", row.measure},
                    {"bound", row.bound},
                    {"figure", row.figure},
                    {"unit", row.unit},
                    {"verdict", ToString(row.verdict)},
                    {"rivals", rivals}});
  }
  out << nlohmann::json{{"title", title_}, {"rows", rows}}.dump(2) << "\n";
}

auto Report::Print(std::ostream& out, bool as_json) const -> ExitCode {
  if (as_json) {
    PrintJson(out);
  } else {
    PrintText(out);
  }
  return exit_code();
}

auto Report::exit_code() const -> ExitCode {
  const auto missed = std::any_of(
      rows_.begin(), rows_.end(),
      [](const ReportRow& row) { return row.verdict == Verdict::kMissed; });
  return missed ? ExitCode::kFailure : ExitCode::kSuccess;
}

}  // namespace hemlockwick
