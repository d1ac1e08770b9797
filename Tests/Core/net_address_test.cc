#include "Core/net_address.h"

#include <criterion/criterion.h>

#include <string>

namespace hemlockwick {
namespace {

auto ParseOrEmpty(const std::string& text) -> std::string {
  return TryOr(
      [&text]() -> Result<std::string> {
        BOOST_LEAF_AUTO(address, ParseSocketAddress(text));
        return ToString(address);
      },
      [](const Error&) { return std::string(); });
}

Test(net_address, round_trips_an_address) {
  cr_assert(ParseOrEmpty("10.1.2.3:6080") == "10.1.2.3:6080");
  cr_assert(ParseOrEmpty("255.255.255.255:65535") == "255.255.255.255:65535");
}

// The system's parser reads up to the null byte only.
Test(net_address, rejects_a_null_byte) {
  const auto text = std::string("10.1.2.3") + '\0' + ".example:80";
  cr_assert(ParseOrEmpty(text).empty());
}

Test(net_address, rejects_malformed_addresses) {
  for (const auto* text : {"", "10.1.2.3", "10.1.2:80", "10.1.2.3:0",
                           "10.1.2.3:65536", "10.1.2.3:8x", "a:b", ":80"}) {
    cr_assert(ParseOrEmpty(text).empty(), "accepted '%s'", text);
  }
}

}  // namespace
}  // namespace hemlockwick
