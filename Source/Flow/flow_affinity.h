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

// The endpoint that the action forwards to; nothing for other actions.
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

// Decides packets on a traffic thread so that all packets of a flow reach one
// endpoint, whichever instance receives them. Two types model it:
// - TokenRouter: packets carry the endpoint's token.
// - RecordRouter: the home instances of a flow keep a record of its endpoint,
//   if the bucket tables alone do not determine it.
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
