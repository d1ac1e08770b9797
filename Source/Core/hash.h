#ifndef HEMLOCKWICK_CORE_HASH_H_
#define HEMLOCKWICK_CORE_HASH_H_

#include <cstdint>
#include <string_view>

namespace hemlockwick {

// Returns the 64-bit XXH3 hash of `bytes`. Stable across platforms.
[[nodiscard]] auto HashBytes(std::string_view bytes, std::uint64_t seed = 0)
    -> std::uint64_t;

// Returns a hash of two words, cheap enough for the packet path: the 64-bit
// finalizer of MurmurHash3 applied to their combination.
[[nodiscard]] constexpr auto MixWords(std::uint64_t left, std::uint64_t right)
    -> std::uint64_t {
  auto word =
      left ^ (right + 0x9E3779B97F4A7C15ULL + (left << 6) + (left >> 2));
  word ^= word >> 33;
  word *= 0xFF51AFD7ED558CCDULL;
  word ^= word >> 33;
  word *= 0xC4CEB9FE1A85EC53ULL;
  word ^= word >> 33;
  return word;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CORE_HASH_H_
