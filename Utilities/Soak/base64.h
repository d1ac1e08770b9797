#ifndef HEMLOCKWICK_SOAK_BASE64_H_
#define HEMLOCKWICK_SOAK_BASE64_H_

#include <string>

namespace hemlockwick::soak {

// Encodes bytes as standard base64 with padding, as the store does.
[[nodiscard]] auto EncodeBase64(const std::string& bytes) -> std::string;

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_BASE64_H_
