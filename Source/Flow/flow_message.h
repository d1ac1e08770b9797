#ifndef HEMLOCKWICK_FLOW_FLOW_MESSAGE_H_
#define HEMLOCKWICK_FLOW_FLOW_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/error.h"
#include "Core/ids.h"
#include "Core/time.h"

namespace hemlockwick {

// A flow and the endpoint that owns it.
struct HandOverRecord {
  FlowKey flow;
  ServiceId service;
  EndpointId endpoint;
  TimePoint opened;
  TimePoint last_seen;
};

// Flow records for an instance that has become a home of the flows.
struct HandOver {
  std::uint64_t sequence = 0;
  std::vector<HandOverRecord> records;
  bool last = false;
  // Until this time there may be flows that opened on both sides of a
  // partition; zero when there was no partition.
  TimePoint partition_effect_until;
};

struct HandOverAck {
  std::uint64_t sequence = 0;
};

using FlowMessage = std::variant<HandOver, HandOverAck>;

// Encode a message as JSON text, and decode it. Decoding fails with
// kInvalidArgument.
[[nodiscard]] auto Encode(const FlowMessage& message) -> std::string;
[[nodiscard]] auto DecodeFlowMessage(std::string_view text)
    -> Result<FlowMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_MESSAGE_H_
