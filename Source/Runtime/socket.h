#ifndef HEMLOCKWICK_RUNTIME_SOCKET_H_
#define HEMLOCKWICK_RUNTIME_SOCKET_H_

#include <netinet/in.h>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Runtime/file_descriptor.h"

namespace hemlockwick {

[[nodiscard]] auto ToSockaddr(const SocketAddress& address) -> sockaddr_in;
[[nodiscard]] auto FromSockaddr(const sockaddr_in& address) -> SocketAddress;

// Binds a listening TCP socket. Fails with kAddressInUse when another process
// listens there.
[[nodiscard]] auto ListenTcp(const SocketAddress& address)
    -> Result<FileDescriptor>;

// Binds a UDP socket; with `shared` several sockets of this process share the
// address and the kernel spreads flows over them.
[[nodiscard]] auto BindUdp(const SocketAddress& address, bool reuse_port)
    -> Result<FileDescriptor>;

// The address that a socket is bound to, with the port that the kernel chose.
[[nodiscard]] auto LocalAddress(const FileDescriptor& socket) -> SocketAddress;

// Whether a TCP connection can be established within `timeout`. The
// connection is closed again without a byte sent.
[[nodiscard]] auto CanConnect(const SocketAddress& address, Duration timeout)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_SOCKET_H_
