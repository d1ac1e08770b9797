#ifndef HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_
#define HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Core/ids.h"

namespace hemlockwick {

// Characters of a digest's text: 16 lower-case hexadecimal digits.
inline constexpr std::size_t kDigestTextLength = 16;

[[nodiscard]] auto ToString(Digest digest) -> std::string;

// Returns nothing unless `text` is exactly the text of a digest.
[[nodiscard]] auto ParseDigest(std::string_view text) -> std::optional<Digest>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_
