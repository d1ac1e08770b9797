#ifndef HEMLOCKWICK_REQUEST_REQUEST_RECORD_H_
#define HEMLOCKWICK_REQUEST_REQUEST_RECORD_H_

#include "Core/ids.h"
#include "Core/time.h"
#include "Request/caller_queue.h"
#include "Request/request_state.h"
#include "Request/request_types.h"
#include "Request/work_class.h"

namespace hemlockwick {

// A request that has not ended, or whose last attempt is still at an endpoint.
struct RequestRecord {
  explicit RequestRecord(const RequestArrival& request)
      : arrival(request), state(request.idempotent, request.key.has_value()) {}

  RequestArrival arrival;
  WorkClass work = WorkClass::kShort;
  // Class under which its attempt is counted at the endpoint.
  WorkClass counted_class = WorkClass::kShort;
  RequestState state;
  EndpointId endpoint;
  TimePoint dispatched;
  bool holds_slot = false;
  bool holds_key = false;
  // The attempt went to an endpoint without a recent observation.
  bool is_probe = false;
  // The caller has its final answer or has disconnected.
  bool caller_done = false;

  [[nodiscard]] auto ToWaiting() const -> WaitingRequest {
    constexpr double kBytesPerTurn = 1 << 20;
    const auto bytes = static_cast<double>(arrival.body_bytes);
    return {arrival.request, arrival.caller, arrival.deadline,
            arrival.first_arrived.value_or(arrival.arrived),
            1 + bytes / kBytesPerTurn};
  }
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_RECORD_H_
