#ifndef HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_
#define HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Core/time.h"

namespace hemlockwick {

// A kind of request in a load pattern.
struct PatternKind {
  double per_second = 0;
  Duration mean_work{0};  // Of usual requests; see TokenWorld.
  Duration aim{0};        // A later answer counts as late.
  Duration deadline{0};   // The caller then gives up.
  // Requests that a flow carries one after the other, and the mean pause
  // between them.
  std::uint32_t requests_per_flow = 1;
  Duration pause{0};
  // Whether a request that may have run is tried again.
  bool idempotent = true;
};

// What befalls endpoints in a load pattern, from `at` on.
enum class PatternFault : std::uint8_t {
  kNone,
  kDark,  // They answer nothing; the platform still lists them for a while.
  kSlow,  // Their work takes five times as long.
  kMute,  // They leave most requests unanswered, and answer the others.
  kResetting,  // They reset most flows at their first request.
};

// Whether requests fail at endpoints that have the fault.
[[nodiscard]] constexpr auto MakesFail(PatternFault fault) -> bool {
  return fault == PatternFault::kDark || fault == PatternFault::kMute ||
         fault == PatternFault::kResetting;
}

// A load and a fault, as recorded on a day that was played.
struct TokenPattern {
  std::string name;
  std::size_t instances = 0;
  std::size_t data_centres = 3;
  std::size_t endpoints = 0;
  std::uint32_t slots = 1;
  std::vector<PatternKind> kinds;
  Duration length{0};
  PatternFault fault = PatternFault::kNone;
  std::size_t faulty_endpoints = 0;
  Duration fault_at{0};
  // Flows come so many times as often for some time after the start, when no
  // instance knows anything.
  double crowd_factor = 1;
  Duration crowd_time{0};
};

// The patterns that the product is measured by.
[[nodiscard]] auto TokenPatterns() -> std::vector<TokenPattern>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_TOKEN_PATTERN_H_
