#include "Runtime/log.h"

#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>

#include "Runtime/log_sink.h"

namespace hemlockwick {

namespace {

constexpr const char* kLoggerName = "hemlockwick";

// Token bucket that limits the rate of decision lines.
class LineRateLimiter {
 public:
  auto TryTake(TimePoint now) -> bool {
    const auto lock = std::lock_guard(mutex_);
    const auto seconds = std::chrono::duration<double>(now - last_).count();
    tokens_ = std::min<double>(kMaxDecisionLinesPerSecond,
                               tokens_ + seconds * kMaxDecisionLinesPerSecond);
    last_ = now;
    if (tokens_ < 1) {
      ++dropped_;
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  auto dropped() -> std::uint64_t {
    const auto lock = std::lock_guard(mutex_);
    return dropped_;
  }

 private:
  std::mutex mutex_;
  double tokens_ = kMaxDecisionLinesPerSecond;
  TimePoint last_;
  std::uint64_t dropped_ = 0;
};

// The log of the process, initialised by StartLog.
struct ProcessLog {
  std::shared_ptr<LogSink> sink;
  std::unique_ptr<spdlog::logger> logger;
  LineRateLimiter limiter;
};

auto GlobalLog() -> ProcessLog& {
  static auto log = ProcessLog();
  return log;
}

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

void Write(spdlog::logger& logger, LogLevel level, std::string_view message,
           const std::map<std::string, std::string>& fields) {
  auto line = R"("message":)" + Quote(message);
  for (const auto& [name, value] : fields) {
    line += "," + Quote(name) + ":" + Quote(value);
  }
  logger.log(ToSpdlog(level), spdlog::string_view_t(line));
}

}  // namespace

void StartLog(std::string_view instance, LogLevel level) {
  auto& log = GlobalLog();
  log.sink = std::make_shared<LogSink>();
  log.logger = std::make_unique<spdlog::logger>(kLoggerName, log.sink);
  log.logger->set_level(ToSpdlog(level));
  log.logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","instance":)" +
          Quote(instance) + ",%v}",
      spdlog::pattern_time_type::utc));
}

void SetLogLevel(LogLevel level) {
  const auto& logger = GlobalLog().logger;
  if (logger != nullptr) {
    logger->set_level(ToSpdlog(level));
  }
}

void Log(LogLevel level, std::string_view message,
         const std::map<std::string, std::string>& fields) {
  LogBuffered(level, message, fields);
  FlushLog();
}

void LogBuffered(LogLevel level, std::string_view message,
                 const std::map<std::string, std::string>& fields) {
  if (!IsLogged(level)) {
    return;
  }
  const auto& logger = GlobalLog().logger;
  Write(*logger, level, message, fields);
  if (level >= LogLevel::kWarning) {
    logger->flush();
  }
}

auto IsLogged(LogLevel level) -> bool {
  const auto& logger = GlobalLog().logger;
  return logger != nullptr && logger->should_log(ToSpdlog(level));
}

auto AllowDecisionLine(LogLevel level, TimePoint now) -> bool {
  return IsLogged(level) && GlobalLog().limiter.TryTake(now);
}

void FlushLog() {
  const auto& logger = GlobalLog().logger;
  if (logger != nullptr) {
    logger->flush();
  }
}

auto DroppedLogLines() -> std::uint64_t {
  auto& log = GlobalLog();
  return log.limiter.dropped() +
         (log.sink == nullptr ? 0 : log.sink->dropped());
}

}  // namespace hemlockwick
