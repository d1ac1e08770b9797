#include "Flow/flow_id.h"

#include <array>
#include <cstdint>
#include <string_view>

#include "Core/hash.h"

namespace hemlockwick {

auto FlowKeyOf(const FlowId& flow) -> FlowKey {
  const auto word = [](const SocketAddress& address) {
    constexpr auto kPortBits = 16;
    return (static_cast<std::uint64_t>(address.ip.value()) << kPortBits) |
           address.port.value();
  };
  const auto words = std::array{word(flow.caller), word(flow.service)};
  return FlowKey(HashBytes({reinterpret_cast<const char*>(words.data()),
                            words.size() * sizeof(words[0])}));
}

}  // namespace hemlockwick
