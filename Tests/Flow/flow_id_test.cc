#include "Flow/flow_id.h"

#include <criterion/criterion.h>

#include <unordered_set>

namespace hemlockwick {
namespace {

// A client opens many flows from neighbouring ports.
Test(flow_id, flows_of_neighbouring_ports_have_different_keys) {
  constexpr auto kFirstPort = std::uint16_t{1024};
  constexpr auto kPorts = std::uint16_t{4096};
  constexpr auto kFirstClient = std::size_t{0x64400000};
  constexpr auto kClients = std::size_t{64};
  const auto service = SocketAddress{Ipv4Address(0xC6120001), Port(8443)};
  auto keys = std::unordered_set<FlowKey>();
  for (auto client = std::size_t{0}; client < kClients; ++client) {
    for (auto offset = std::uint16_t{0}; offset < kPorts; ++offset) {
      const auto port = static_cast<std::uint16_t>(kFirstPort + offset);
      keys.insert(FlowKeyOf(
          {{Ipv4Address(static_cast<std::uint32_t>(kFirstClient + client)),
            Port(port)},
           service}));
    }
  }
  cr_assert_eq(keys.size(), kClients * kPorts);
}

Test(flow_id, each_address_and_port_counts) {
  const auto flow =
      FlowId{{Ipv4Address(1), Port(2)}, {Ipv4Address(3), Port(4)}};
  for (const auto& other : {FlowId{{Ipv4Address(9), Port(2)}, flow.service},
                            FlowId{{Ipv4Address(1), Port(9)}, flow.service},
                            FlowId{flow.caller, {Ipv4Address(9), Port(4)}},
                            FlowId{flow.caller, {Ipv4Address(3), Port(9)}}}) {
    cr_assert_neq(flow, other);
    cr_assert_neq(FlowKeyOf(flow), FlowKeyOf(other));
  }
}

}  // namespace
}  // namespace hemlockwick
