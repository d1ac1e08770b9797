#include "Config/utc_time.h"

#include <ctime>
#include <iomanip>
#include <sstream>

namespace hemlockwick {

namespace {

constexpr const char* kUtcFormat = "%Y-%m-%dT%H:%M:%SZ";
constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

auto FormatUtc(TimePoint time) -> std::string {
  const auto seconds =
      static_cast<std::time_t>(ToUnixMillis(time) / kMillisPerSecond);
  auto calendar = std::tm{};
  gmtime_r(&seconds, &calendar);
  auto text = std::ostringstream();
  text << std::put_time(&calendar, kUtcFormat);
  return text.str();
}

auto ParseUtc(const std::string& text) -> Result<TimePoint> {
  auto calendar = std::tm{};
  auto input = std::istringstream(text);
  input >> std::get_time(&calendar, kUtcFormat);
  const auto time = FromUnixMillis(timegm(&calendar) * kMillisPerSecond);
  if (input.fail() || FormatUtc(time) != text) {
    return Fail(ErrorCode::kInvalidArgument, "'" + text + "' is not a UTC time",
                "write it as YYYY-MM-DDTHH:MM:SSZ");
  }
  return time;
}

}  // namespace hemlockwick
