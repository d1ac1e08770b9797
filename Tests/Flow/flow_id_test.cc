#include "Flow/flow_id.h"

#include <criterion/criterion.h>

namespace hemlockwick {
namespace {

Test(flow_id, each_address_and_port_counts) {
  const auto flow =
      FlowId{{Ipv4Address(1), Port(2)}, {Ipv4Address(3), Port(4)}};
  for (const auto& other : {FlowId{{Ipv4Address(9), Port(2)}, flow.service},
                            FlowId{{Ipv4Address(1), Port(9)}, flow.service},
                            FlowId{flow.caller, {Ipv4Address(9), Port(4)}},
                            FlowId{flow.caller, {Ipv4Address(3), Port(9)}}}) {
    cr_assert_neq(flow, other);
  }
}

}  // namespace
}  // namespace hemlockwick
