#include "Measure/slope_table.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

SlopeTable::SlopeTable(std::vector<Slope> slopes) {
  entries_.reserve(slopes.size());
  for (auto& slope : slopes) {
    const auto fit = FitSlope(slope.samples);
    entries_.push_back(FittedSlope{std::move(slope), fit});
  }
}

auto SlopeTable::Find(std::string_view name) const -> Result<SlopeFit> {
  const auto found = std::find_if(
      entries_.begin(), entries_.end(),
      [name](const FittedSlope& entry) { return entry.slope.name == name; });
  if (found == entries_.end()) {
    return Fail(ErrorCode::kNotFound,
                "no slope is called '" + std::string(name) + "'",
                "measure it before the capacity table is built");
  }
  return found->fit;
}

auto SlopeTable::CostAt(std::string_view name, double size) const
    -> Result<double> {
  BOOST_LEAF_AUTO(fit, Find(name));
  return std::max(0.0, fit.fixed + fit.per_unit * size);
}

}  // namespace hemlockwick
