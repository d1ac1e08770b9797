#ifndef HEMLOCKWICK_FLOW_FLOW_ID_H_
#define HEMLOCKWICK_FLOW_FLOW_ID_H_

#include <compare>
#include <cstddef>
#include <functional>

#include "Core/ids.h"
#include "Core/net_address.h"

namespace hemlockwick {

// Identifies a flow by the addresses of both ends.
struct FlowId {
  SocketAddress caller;
  SocketAddress service;

  friend auto operator<=>(const FlowId&, const FlowId&)
      -> std::strong_ordering = default;
};

// A hash of the flow's addresses, to place and to spread flows. Some flows of
// one caller from neighbouring ports have the same key.
[[nodiscard]] auto FlowKeyOf(const FlowId& flow) -> FlowKey;

}  // namespace hemlockwick

template <>
struct std::hash<hemlockwick::FlowId> {
  auto operator()(const hemlockwick::FlowId& flow) const noexcept
      -> std::size_t {
    return hemlockwick::FlowKeyOf(flow).value();
  }
};

#endif  // HEMLOCKWICK_FLOW_FLOW_ID_H_
