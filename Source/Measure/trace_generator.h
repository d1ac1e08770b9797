#ifndef HEMLOCKWICK_MEASURE_TRACE_GENERATOR_H_
#define HEMLOCKWICK_MEASURE_TRACE_GENERATOR_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Measure/request_trace.h"

namespace hemlockwick {

// Names of the traces with a swing of demand.
[[nodiscard]] auto PeakTraceNames() -> std::vector<std::string>;

// Makes the trace called `name` from a seed. Fails with kNotFound.
[[nodiscard]] auto MakePeakTrace(std::string_view name, std::uint64_t seed)
    -> Result<RequestTrace>;

// Makes a trace of constant demand; `load` is the share of all slot time that
// it asks for. All callers ask for the same.
[[nodiscard]] auto MakeSteadyTrace(double load, Duration length,
                                   std::uint64_t seed) -> RequestTrace;

// Likewise, but one caller asks for eight times as much as any other.
[[nodiscard]] auto MakeOverloadTrace(double load, Duration length,
                                     std::uint64_t seed) -> RequestTrace;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TRACE_GENERATOR_H_
