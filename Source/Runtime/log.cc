#include "Runtime/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

namespace hemlockwick {

namespace {

constexpr const char* kLoggerName = "hemlockwick";

auto ToSpdlog(LogLevel level) -> spdlog::level::level_enum {
  switch (level) {
    case LogLevel::kDebug:
      return spdlog::level::debug;
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    case LogLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::info;
}

auto Quote(std::string_view text) -> std::string {
  using Json = nlohmann::json;
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

void StartLog(std::string_view instance, LogLevel level) {
  spdlog::drop(kLoggerName);
  const auto logger = spdlog::stdout_logger_mt(kLoggerName);
  logger->set_level(ToSpdlog(level));
  logger->flush_on(spdlog::level::info);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",)"
                      R"("instance":)" +
                          Quote(instance) + R"(,%v})",
                      spdlog::pattern_time_type::utc);
}

void Log(LogLevel level, std::string_view message,
         const std::map<std::string, std::string>& fields) {
  const auto logger = spdlog::get(kLoggerName);
  if (logger == nullptr || !logger->should_log(ToSpdlog(level))) {
    return;
  }
  auto line = R"("message":)" + Quote(message);
  for (const auto& [name, value] : fields) {
    line += "," + Quote(name) + ":" + Quote(value);
  }
  logger->log(ToSpdlog(level), "{}", line);
}

}  // namespace hemlockwick
