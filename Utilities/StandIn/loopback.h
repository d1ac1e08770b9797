#ifndef HEMLOCKWICK_STANDIN_LOOPBACK_H_
#define HEMLOCKWICK_STANDIN_LOOPBACK_H_

#include "Core/net_address.h"

namespace hemlockwick {

// 127.0.0.1 with a port that the kernel chooses.
[[nodiscard]] inline auto AnyLoopbackPort() -> SocketAddress {
  return {Ipv4Address(0x7F000001), Port(0)};
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_LOOPBACK_H_
