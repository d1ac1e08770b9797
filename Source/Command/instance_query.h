#ifndef HEMLOCKWICK_COMMAND_INSTANCE_QUERY_H_
#define HEMLOCKWICK_COMMAND_INSTANCE_QUERY_H_

#include <string>
#include <string_view>
#include <vector>

#include "Command/command.h"
#include "Core/error.h"
#include "Core/net_address.h"

namespace hemlockwick {

[[nodiscard]] auto ParseAddresses(const std::vector<std::string>& texts)
    -> Result<std::vector<SocketAddress>>;

// Sends a GET request to an instance's HTTP address and returns the body. Fails
// with kUnavailable unless the status is 200.
[[nodiscard]] auto GetFromInstance(const SocketAddress& address,
                                   const std::string& path)
    -> Result<std::string>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_COMMAND_INSTANCE_QUERY_H_
