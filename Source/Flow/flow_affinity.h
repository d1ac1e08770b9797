#ifndef HEMLOCKWICK_FLOW_FLOW_AFFINITY_H_
#define HEMLOCKWICK_FLOW_FLOW_AFFINITY_H_

#include <concepts>
#include <optional>
#include <variant>

#include "Core/ids.h"
#include "Core/time.h"
#include "Flow/flow_types.h"
#include "Flow/token_types.h"

namespace hemlockwick {

// The endpoint that a packet is forwarded to; nothing when it is not.
[[nodiscard]] inline auto EndpointOf(const FlowAction& action)
    -> std::optional<EndpointId> {
  const auto* const forward = std::get_if<ForwardToEndpoint>(&action);
  return forward == nullptr ? std::nullopt : std::optional(forward->endpoint);
}
[[nodiscard]] inline auto EndpointOf(const TokenAction& action)
    -> std::optional<EndpointId> {
  const auto* const forward = std::get_if<ForwardWithToken>(&action);
  return forward == nullptr ? std::nullopt : std::optional(forward->endpoint);
}

// A traffic thread's way to decide packets so that all packets of a flow reach
// one endpoint, whichever instance takes them. Two models:
// - TokenRouter: packets carry the endpoint's token.
// - RecordRouter: homes keep records of flows that the tables alone do not
//   decide.
template <typename T>
concept FlowAffinity = requires(T& affinity, const typename T::Packet& packet,
                                TimePoint now) {
  { affinity.Decide(packet, now) } -> std::same_as<typename T::Action>;
}
&&requires(const typename T::Action& action) {
  { EndpointOf(action) } -> std::same_as<std::optional<EndpointId>>;
  { std::get_if<DropPacket>(&action) } -> std::same_as<const DropPacket*>;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_FLOW_AFFINITY_H_
