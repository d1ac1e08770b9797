#include "Config/quantity.h"

#include <array>
#include <charconv>
#include <limits>
#include <span>
#include <string>
#include <system_error>

namespace hemlockwick {

namespace {

struct Unit {
  std::string_view name;
  std::uint64_t factor;
};

constexpr std::array<Unit, 5> kTimeUnits = {{{"ms", 1'000'000ULL},
                                             {"s", 1'000'000'000ULL},
                                             {"m", 60'000'000'000ULL},
                                             {"min", 60'000'000'000ULL},
                                             {"h", 3'600'000'000'000ULL}}};
constexpr std::string_view kTimeRemedy =
    "write it as a whole number with ms, s, min or h, for example 250ms";

constexpr std::array<Unit, 4> kSizeUnits = {{{"B", 1ULL},
                                             {"KiB", 1ULL << 10},
                                             {"MiB", 1ULL << 20},
                                             {"GiB", 1ULL << 30}}};
constexpr std::string_view kSizeRemedy =
    "write it as a whole number with B, KiB, MiB or GiB, for example 64KiB";

// Returns the number times the factor of its unit.
auto ParseWithUnit(std::string_view text, std::span<const Unit> units,
                   std::string_view remedy) -> Result<std::uint64_t> {
  const auto fail = [&](const std::string& problem) {
    return Fail(ErrorCode::kInvalidArgument,
                "'" + std::string(text) + "' " + problem, std::string(remedy));
  };
  const auto* const end = text.data() + text.size();
  std::uint64_t number = 0;
  const auto [rest, status] = std::from_chars(text.data(), end, number);
  if (status == std::errc::result_out_of_range) {
    return fail("is out of range");
  }
  if (status != std::errc()) {
    return fail("is not a quantity");
  }
  const auto suffix =
      std::string_view(rest, static_cast<std::size_t>(end - rest));
  if (suffix.empty()) {
    return fail("has no unit");
  }
  for (const auto& unit : units) {
    if (unit.name != suffix) {
      continue;
    }
    const auto limit =
        static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (number > limit / unit.factor) {
      return fail("is out of range");
    }
    return number * unit.factor;
  }
  return fail("has an unknown unit");
}

}  // namespace

auto ParseDuration(std::string_view text) -> Result<Duration> {
  BOOST_LEAF_AUTO(nanoseconds, ParseWithUnit(text, kTimeUnits, kTimeRemedy));
  return Duration(static_cast<Duration::rep>(nanoseconds));
}

auto ParseSize(std::string_view text) -> Result<std::uint64_t> {
  return ParseWithUnit(text, kSizeUnits, kSizeRemedy);
}

}  // namespace hemlockwick
