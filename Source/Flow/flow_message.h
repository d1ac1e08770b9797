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
struct HandedRecord {
  FlowKey flow;
  ServiceId service;
  EndpointId endpoint;
  TimePoint opened;
  TimePoint last_seen;
};

// Records of a leaving instance for the next home.
struct HandOver {
  std::uint64_t sequence = 0;
  std::vector<HandedRecord> records;
  bool last = false;
};

struct HandOverAck {
  std::uint64_t sequence = 0;
};

using FlowMessage = std::variant<HandOver, HandOverAck>;

// Text of a message, and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto Encode(const FlowMessage& message) -> std::string;
[[nodiscard]] auto DecodeFlowMessage(std::string_view text)
    -> Result<FlowMessage>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_MESSAGE_H_
