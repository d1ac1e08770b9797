#ifndef HEMLOCKWICK_MEASURE_CENTRAL_QUEUE_H_
#define HEMLOCKWICK_MEASURE_CENTRAL_QUEUE_H_

#include "Core/time.h"
#include "Measure/replay_outcome.h"
#include "Measure/request_trace.h"

namespace hemlockwick {

// Replays a trace through one queue that sees every slot at every moment and
// knows each request's slot time and each fault in advance: the limit that no
// set of instances can pass. Short work goes first; long work never takes the
// last slot of an endpoint; what cannot meet its deadline or would wait longer
// than `max_short_wait` is refused.
[[nodiscard]] auto ReplayCentral(const RequestTrace& trace,
                                 Duration max_short_wait) -> ReplayOutcome;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_CENTRAL_QUEUE_H_
