#ifndef HEMLOCKWICK_MEASURE_REQUEST_PLOT_H_
#define HEMLOCKWICK_MEASURE_REQUEST_PLOT_H_

#include <string>

#include "Measure/request_measures.h"

namespace hemlockwick {

// Draws, over the time of the trace, the share of requests served and the p99
// wait of short work, for the limit and every policy, as SVG.
[[nodiscard]] auto PlotComparison(const PolicyComparison& comparison)
    -> std::string;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUEST_PLOT_H_
