#ifndef HEMLOCKWICK_MEASURE_SLOPE_TABLE_H_
#define HEMLOCKWICK_MEASURE_SLOPE_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Measure/slope.h"

namespace hemlockwick {

// A measured slope together with the line fitted to it.
struct FittedSlope {
  Slope slope;
  SlopeFit fit;
};

// The slopes of one run, found by name.
class SlopeTable {
 public:
  explicit SlopeTable(std::vector<Slope> slopes);

  [[nodiscard]] auto entries() const -> const std::vector<FittedSlope>& {
    return entries_;
  }

  // Fails with kNotFound when no slope of this run has the name.
  [[nodiscard]] auto Find(std::string_view name) const -> Result<SlopeFit>;

  // Returns the fitted cost at `size`, never below zero.
  [[nodiscard]] auto CostAt(std::string_view name, double size) const
      -> Result<double>;

 private:
  std::vector<FittedSlope> entries_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_SLOPE_TABLE_H_
