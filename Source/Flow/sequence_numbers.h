#ifndef HEMLOCKWICK_FLOW_SEQUENCE_NUMBERS_H_
#define HEMLOCKWICK_FLOW_SEQUENCE_NUMBERS_H_

#include <cstdint>
#include <cstdlib>

namespace hemlockwick {

// Whether sequence number `left` precedes `right`, with wrap-around.
[[nodiscard]] inline auto IsBefore(std::uint32_t left, std::uint32_t right)
    -> bool {
  return static_cast<std::int32_t>(left - right) < 0;
}

// Sequence numbers of one flow that are further apart are not told from those
// of a new flow: four times what may be in flight.
inline constexpr std::int32_t kMaxSequenceGap = 76'800;

[[nodiscard]] inline auto IsNear(std::uint32_t left, std::uint32_t right)
    -> bool {
  return std::abs(static_cast<std::int32_t>(left - right)) <= kMaxSequenceGap;
}

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLOW_SEQUENCE_NUMBERS_H_
