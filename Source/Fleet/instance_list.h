#ifndef HEMLOCKWICK_FLEET_INSTANCE_LIST_H_
#define HEMLOCKWICK_FLEET_INSTANCE_LIST_H_

#include <string>
#include <string_view>
#include <vector>

#include "Core/error.h"
#include "Core/net_address.h"

namespace hemlockwick {

// One entry of the platform's instance list.
struct ListedInstance {
  std::string name;
  std::string data_centre;
  SocketAddress http_address;
  SocketAddress packet_address;
  bool leaving = false;
};

// Converts the value under kInstanceListKey to JSON and back. Decoding fails
// with kInvalidArgument when any entry is malformed.
[[nodiscard]] auto EncodeInstanceList(
    const std::vector<ListedInstance>& instances) -> std::string;
[[nodiscard]] auto DecodeInstanceList(std::string_view text)
    -> Result<std::vector<ListedInstance>>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_INSTANCE_LIST_H_
