#include "Measure/report.h"

#include <criterion/criterion.h>

#include <nlohmann/json.hpp>
#include <sstream>

namespace hemlockwick {
namespace {

Test(report, exit_code_follows_the_bounds) {
  auto report = Report("sample");
  report.AtMost("latency", 10, 10, "ms");
  report.AtLeast("served", 0.95, 0.95, "share");
  report.Inform("records", 7, "");
  cr_assert(report.exit_code() == ExitCode::kSuccess);
  report.AtMost("broken flows", 0, 1, "flows");
  cr_assert(report.exit_code() == ExitCode::kFailure);
}

Test(report, a_figure_that_is_no_number_misses_its_bound) {
  auto report = Report("sample");
  const auto figure = 0.0 / 0.0;
  cr_assert(report.AtMost("a", 1, figure, "").verdict == Verdict::kMissed);
  cr_assert(report.AtLeast("b", 1, figure, "").verdict == Verdict::kMissed);
}

Test(report, json_holds_rows_and_rivals) {
  auto report = Report("sample");
  report.AtMost("wait", 5, 6, "ms").rivals.push_back({"uniform", 1739});
  auto out = std::ostringstream();
  report.PrintJson(out);
  const auto json = nlohmann::json::parse(out.str());
  cr_assert(json["rows"][0]["verdict"] == "MISSED");
  cr_assert(json["rows"][0]["rivals"]["uniform"] == 1739);
}

}  // namespace
}  // namespace hemlockwick
