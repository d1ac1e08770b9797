#include "Flow/flow_id.h"

#include <cstdint>

#include "Core/hash.h"

namespace hemlockwick {

auto FlowKeyOf(const FlowId& flow) -> FlowKey {
  const auto word = [](const SocketAddress& address) {
    constexpr auto kPortBits = 16;
    return (static_cast<std::uint64_t>(address.ip.value()) << kPortBits) |
           address.port.value();
  };
  return FlowKey(MixWords(word(flow.caller), word(flow.service)));
}

}  // namespace hemlockwick
