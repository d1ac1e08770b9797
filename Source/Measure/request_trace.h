#ifndef HEMLOCKWICK_MEASURE_REQUEST_TRACE_H_
#define HEMLOCKWICK_MEASURE_REQUEST_TRACE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/time.h"

namespace hemlockwick {

// One request of a trace; times are relative to the trace's start.
struct TracedRequest {
  Duration at{0};
  std::uint32_t caller = 0;
  Duration service_time{0};  // Slot time that it takes at an endpoint.
  bool is_long = false;      // Declares a long body.
  bool idempotent = false;
};

enum class EndpointFaultKind : std::uint8_t {
  kFail,   // Refuses connections; running work is lost.
  kHang,   // Accepts work and never answers.
  kLie,    // Reports no load, whatever it runs.
  kLag,    // Reports the load of some seconds ago.
  kCold,   // Runs work at a third of its speed.
  kDrain,  // Published as draining.
};

// Factor by which a cold endpoint is slower.
inline constexpr int kColdSlowness = 3;

// What is wrong with an endpoint during an interval of a trace.
struct EndpointFault {
  EndpointFaultKind kind = EndpointFaultKind::kFail;
  std::size_t endpoint = 0;  // Position among the endpoints.
  Duration from{0};
  Duration to{0};
};

// A recorded run of callers against one service.
struct RequestTrace {
  std::string name;
  std::size_t endpoints = 14;
  std::size_t slots = 3;
  Duration short_deadline = std::chrono::seconds(1);
  Duration long_deadline = std::chrono::seconds(15);
  // How often a refused caller tries again at once.
  std::size_t caller_retries = 0;
  // The interval of highest demand, for the served share at peak load.
  Duration peak_from{0};
  Duration peak_to{0};
  std::vector<EndpointFault> faults;
  std::vector<TracedRequest> requests;  // In order of time.
};

// Text form of a trace, documented in Tests/Traces/README.md, and back.
// Decoding fails with kInvalidArgument and names the line.
[[nodiscard]] auto EncodeTrace(const RequestTrace& trace) -> std::string;
[[nodiscard]] auto DecodeTrace(std::string_view text) -> Result<RequestTrace>;

// Reads only the fault lines of `text`.
[[nodiscard]] auto DecodeFaults(std::string_view text)
    -> Result<std::vector<EndpointFault>>;

// Replaces the faults of a trace. Fails with kInvalidArgument when one names
// an endpoint that the trace does not have.
[[nodiscard]] auto SetFaults(RequestTrace& trace,
                             std::vector<EndpointFault> faults) -> Result<void>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_REQUEST_TRACE_H_
