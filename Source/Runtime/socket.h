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

// Opens a listening TCP socket. Fails with kAddressInUse if another process
// listens at the address, otherwise with kInternal.
[[nodiscard]] auto ListenTcp(const SocketAddress& address)
    -> Result<FileDescriptor>;

// Opens a UDP socket bound to `address`. With `reuse_port`, several sockets of
// this process can share the address and the kernel distributes flows over
// them. Fails with kAddressInUse or kInternal.
[[nodiscard]] auto BindUdp(const SocketAddress& address, bool reuse_port)
    -> Result<FileDescriptor>;

// Returns the address that a socket is bound to, including a port that the
// kernel chose.
[[nodiscard]] auto LocalAddress(const FileDescriptor& socket) -> SocketAddress;

// Returns whether a TCP connection can be established within `timeout`. It is
// closed again without sending any data.
[[nodiscard]] auto CanConnect(const SocketAddress& address, Duration timeout)
    -> bool;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_SOCKET_H_
