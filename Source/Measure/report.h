#ifndef HEMLOCKWICK_MEASURE_REPORT_H_
#define HEMLOCKWICK_MEASURE_REPORT_H_

#include <iosfwd>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Command/command.h"

namespace hemlockwick {

enum class Verdict { kHolds, kMissed, kReported };

// The figure that a rival way reached for the same measure.
struct RivalFigure {
  std::string name;
  double figure = 0;
};

// One line of a measuring command's table.
struct ReportRow {
  std::string measure;
  std::string bound;  // Empty for a figure that is only reported.
  double figure = 0;
  std::string unit;
  Verdict verdict = Verdict::kReported;
  std::vector<RivalFigure> rivals;
};

// Measures with their stated bounds, figures, rivals and verdicts.
class Report {
 public:
  explicit Report(std::string title) : title_(std::move(title)) {}

  // Each returns the added row, so that rivals can be appended to it. The
  // reference is valid until the next call.
  auto AtMost(std::string measure, double bound, double figure,
              std::string unit) -> ReportRow&;
  auto AtLeast(std::string measure, double bound, double figure,
               std::string unit) -> ReportRow&;
  auto Inform(std::string measure, double figure, std::string unit)
      -> ReportRow&;

  [[nodiscard]] auto rows() const -> const std::vector<ReportRow>& {
    return rows_;
  }

  void PrintText(std::ostream& out) const;
  void PrintJson(std::ostream& out) const;

  // Prints as JSON or as text; returns the exit code.
  [[nodiscard]] auto Print(std::ostream& out, bool as_json) const -> ExitCode;

  // kFailure when a bound is missed.
  [[nodiscard]] auto exit_code() const -> ExitCode;

 private:
  std::string title_;
  std::vector<ReportRow> rows_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REPORT_H_
