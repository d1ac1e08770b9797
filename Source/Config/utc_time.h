#ifndef HEMLOCKWICK_CONFIG_UTC_TIME_H_
#define HEMLOCKWICK_CONFIG_UTC_TIME_H_

#include <string>

#include "Core/error.h"
#include "Core/time.h"

namespace hemlockwick {

// Formats a time such as "2026-12-04T03:00:00Z". Fractions of a second are
// dropped.
[[nodiscard]] auto FormatUtc(TimePoint time) -> std::string;

// Parses the form that FormatUtc writes. Fails with kInvalidArgument.
[[nodiscard]] auto ParseUtc(const std::string& text) -> Result<TimePoint>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_CONFIG_UTC_TIME_H_
