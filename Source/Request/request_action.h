#ifndef HEMLOCKWICK_REQUEST_REQUEST_ACTION_H_
#define HEMLOCKWICK_REQUEST_REQUEST_ACTION_H_

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Request/request_message.h"
#include "Request/request_types.h"

namespace hemlockwick {

struct SendRequestMessage {
  InstanceId to;
  SocketAddress address;  // The peer's HTTP address.
  RequestMessage message;
};

using RequestAction =
    std::variant<DispatchRequest, RefuseRequest, DeliverAnswer, CancelAttempt,
                 SendRequestMessage>;
using RequestActions = std::vector<RequestAction>;

struct RequestPlaneSettings {
  std::uint64_t random_seed = 0;
  // Largest number of Idempotency-Keys that the instance stores.
  std::size_t max_keys = 200'000;
  // Whether this is the first start of a deployment, so that no instance can
  // have run a request before. Otherwise this instance grants no claim of a key
  // that an earlier instance may remember until the memory of that key has
  // ended.
  bool is_first_start = false;
};

struct RequestStats {
  std::uint64_t arrived = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused = 0;
  std::uint64_t shed = 0;
  std::uint64_t retried = 0;
  std::uint64_t late_answers = 0;
  std::uint64_t outcome_unknown = 0;
  std::size_t queued = 0;
  std::size_t in_flight = 0;
  std::size_t keys = 0;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_REQUEST_REQUEST_ACTION_H_
