#ifndef HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_
#define HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "Core/ids.h"

namespace hemlockwick {

// Length of a digest's text, which is written in lower-case hexadecimal digits.
inline constexpr std::size_t kDigestTextLength = 16;

[[nodiscard]] auto ToString(Digest digest) -> std::string;

// Returns nullopt unless `text` consists of exactly kDigestTextLength
// hexadecimal digits.
[[nodiscard]] auto ParseDigest(std::string_view text) -> std::optional<Digest>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_DIGEST_TEXT_H_
