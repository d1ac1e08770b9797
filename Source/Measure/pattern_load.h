#ifndef HEMLOCKWICK_MEASURE_PATTERN_LOAD_H_
#define HEMLOCKWICK_MEASURE_PATTERN_LOAD_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/net_address.h"
#include "Core/random.h"
#include "Core/time.h"
#include "Measure/pattern_endpoint.h"
#include "Measure/token_outcome.h"
#include "Measure/token_pattern.h"

namespace hemlockwick {

// The caller's address of a flow, and the reverse.
[[nodiscard]] auto CallerOf(std::uint64_t flow) -> SocketAddress;
[[nodiscard]] auto FlowOf(const SocketAddress& caller) -> std::uint64_t;

// The position of the data centre where the flow's caller is.
[[nodiscard]] auto CallerDataCentre(const TokenPattern& pattern,
                                    std::uint64_t flow) -> std::size_t;

// Draws the work of a request: lognormal about its mean, and several times as
// long for a few.
[[nodiscard]] auto DrawWork(const PatternKind& kind, Random& random)
    -> PatternWork;

// Draws the time until the next flow of the kind opens, at `time` after the
// start.
[[nodiscard]] auto DrawArrival(const TokenPattern& pattern,
                               const PatternKind& kind, Duration time,
                               Random& random) -> Duration;

// Number of flows of the kind that are open at the start.
[[nodiscard]] auto StandingFlows(const TokenPattern& pattern,
                                 const PatternKind& kind) -> std::size_t;

// Why a request was answered after its aim. `trips` is the time of its packets
// on the way, `was_disturbed` says that something did not answer.
[[nodiscard]] auto CauseOfDelay(const PatternWork& work, Duration trips,
                                Duration aim, bool was_disturbed) -> MissCause;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_PATTERN_LOAD_H_
