#include "Measure/slope.h"

#include <criterion/criterion.h>

#include <cmath>

namespace hemlockwick {
namespace {

constexpr double kTolerance = 1e-9;

Test(slope, fits_a_line_exactly) {
  const auto fit = FitSlope({{1, 5}, {2, 7}, {4, 11}});
  cr_assert(std::abs(fit.fixed - 3) < kTolerance);
  cr_assert(std::abs(fit.per_unit - 2) < kTolerance);
  cr_assert(fit.spread < kTolerance);
}

Test(slope, reports_the_spread_of_samples_off_the_line) {
  const auto fit = FitSlope({{1, 1}, {2, 4}, {3, 3}});
  cr_assert(fit.spread > 0.3);
}

Test(slope, survives_degenerate_samples) {
  const auto fit = FitSlope({{5, 2}, {5, 4}});
  cr_assert(std::abs(fit.fixed - 3) < kTolerance);
  cr_assert(std::abs(fit.per_unit) < kTolerance);
  cr_assert(FitSlope({}).fixed == 0);
}

}  // namespace
}  // namespace hemlockwick
