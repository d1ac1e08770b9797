#ifndef HEMLOCKWICK_FLOW_FLOW_TOKEN_H_
#define HEMLOCKWICK_FLOW_FLOW_TOKEN_H_

#include <cstdint>

#include "Core/ids.h"
#include "Core/strong_id.h"

namespace hemlockwick {

// Names a flow's endpoint in each of the flow's packets. Zero names none.
using FlowToken = StrongId<struct FlowTokenTag, std::uint32_t>;

inline constexpr FlowToken kNoToken{0};

// The token of an endpoint, the same on every instance.
[[nodiscard]] constexpr auto TokenOf(EndpointId endpoint) -> FlowToken {
  constexpr auto kHalfBits = 32;
  const auto folded = static_cast<std::uint32_t>(
      endpoint.value() ^ (endpoint.value() >> kHalfBits));
  return FlowToken(folded == 0 ? 1 : folded);
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_TOKEN_H_
