#include "Measure/slope.h"

#include <algorithm>
#include <cmath>

namespace hemlockwick {

auto FitSlope(const std::vector<SlopeSample>& samples) -> SlopeFit {
  const auto count = static_cast<double>(samples.size());
  auto sum_size = 0.0;
  auto sum_cost = 0.0;
  auto sum_square = 0.0;
  auto sum_product = 0.0;
  for (const auto& sample : samples) {
    sum_size += sample.size;
    sum_cost += sample.cost;
    sum_square += sample.size * sample.size;
    sum_product += sample.size * sample.cost;
  }
  const auto divisor = count * sum_square - sum_size * sum_size;
  auto fit = SlopeFit();
  if (divisor != 0) {
    fit.per_unit = (count * sum_product - sum_size * sum_cost) / divisor;
  }
  fit.fixed = count == 0 ? 0 : (sum_cost - fit.per_unit * sum_size) / count;
  for (const auto& sample : samples) {
    const auto predicted = fit.fixed + fit.per_unit * sample.size;
    if (sample.cost != 0) {
      fit.spread =
          std::max(fit.spread, std::abs(predicted - sample.cost) / sample.cost);
    }
  }
  return fit;
}

}  // namespace hemlockwick
