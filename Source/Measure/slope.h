#ifndef HEMLOCKWICK_MEASURE_SLOPE_H_
#define HEMLOCKWICK_MEASURE_SLOPE_H_

#include <string>
#include <vector>

namespace hemlockwick {

// Cost measured at one size.
struct SlopeSample {
  double size = 0;
  double cost = 0;
};

// A straight line fitted to samples by least squares.
struct SlopeFit {
  double fixed = 0;     // Cost at size 0.
  double per_unit = 0;  // Cost of one more unit of size.
  // Largest distance of a sample from the line, as a share of that sample.
  double spread = 0;
};

// A measured dependence of a cost on a size, for docs/CAPACITY.md.
struct Slope {
  std::string name;       // For example "flow.table_build".
  std::string size_unit;  // For example "endpoint".
  std::string cost_unit;  // "s" of one core, "B" of memory or "B" sent.
  std::vector<SlopeSample> samples;  // At least three sizes.
};

[[nodiscard]] auto FitSlope(const std::vector<SlopeSample>& samples)
    -> SlopeFit;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_SLOPE_H_
