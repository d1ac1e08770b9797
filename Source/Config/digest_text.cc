#include "Config/digest_text.h"

#include <array>
#include <charconv>
#include <cstdint>
#include <system_error>

namespace hemlockwick {

namespace {

constexpr int kHexadecimal = 16;

}  // namespace

auto ToString(Digest digest) -> std::string {
  auto digits = std::array<char, kDigestTextLength>();
  const auto written =
      std::to_chars(digits.data(), digits.data() + digits.size(),
                    digest.value(), kHexadecimal);
  const auto length = static_cast<std::size_t>(written.ptr - digits.data());
  return std::string(kDigestTextLength - length, '0') +
         std::string(digits.data(), length);
}

auto ParseDigest(std::string_view text) -> std::optional<Digest> {
  if (text.size() != kDigestTextLength) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  const auto* const end = text.data() + text.size();
  const auto [rest, status] =
      std::from_chars(text.data(), end, value, kHexadecimal);
  if (status != std::errc() || rest != end) {
    return std::nullopt;
  }
  return Digest(value);
}

}  // namespace hemlockwick
