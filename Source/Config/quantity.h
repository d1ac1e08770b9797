#ifndef HEMLOCKWICK_CONFIG_QUANTITY_H_
#define HEMLOCKWICK_CONFIG_QUANTITY_H_

#include <cstdint>
#include <string_view>

#include "Core/error.h"
#include "Core/time.h"

namespace hemlockwick {

// Parses a whole number with a unit of time, such as "250ms", "10s" or "24h"; m
// and min both stand for minutes.
// Fails with kInvalidArgument.
[[nodiscard]] auto ParseDuration(std::string_view text) -> Result<Duration>;

// Parses a whole number of bytes with a unit, such as "512B" or "64KiB". Fails
// with kInvalidArgument.
[[nodiscard]] auto ParseSize(std::string_view text) -> Result<std::uint64_t>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_QUANTITY_H_
