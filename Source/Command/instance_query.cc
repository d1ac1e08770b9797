#include "Command/instance_query.h"

#include "Runtime/http_client.h"

namespace hemlockwick {

namespace {

constexpr int kOk = 200;
constexpr Duration kQueryTimeout = std::chrono::seconds(2);

}  // namespace

auto ParseAddresses(const std::vector<std::string>& texts)
    -> Result<std::vector<SocketAddress>> {
  auto addresses = std::vector<SocketAddress>();
  for (const auto& text : texts) {
    BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
    addresses.push_back(address);
  }
  return addresses;
}

auto GetFromInstance(const SocketAddress& address, const std::string& path)
    -> Result<std::string> {
  auto request = HttpRequest();
  request.path = path;
  request.timeout = kQueryTimeout;
  BOOST_LEAF_AUTO(response, SendHttp(address, request));
  if (response.status != kOk) {
    return Fail(ErrorCode::kUnavailable,
                ToString(address) + " answered " +
                    std::to_string(response.status) + " to " + path,
                "give the HTTP address of an instance");
  }
  return response.body;
}

}  // namespace hemlockwick
