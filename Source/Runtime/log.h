#ifndef HEMLOCKWICK_RUNTIME_LOG_H_
#define HEMLOCKWICK_RUNTIME_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/time.h"

namespace hemlockwick {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sends the log of this process to standard output, one JSON object a line,
// from `level` on. `instance` is part of each line. Logging never waits for
// the reader of standard output.
void StartLog(std::string_view instance, LogLevel level);

// Changes the level from which on lines are written. Any thread may call it.
void SetLogLevel(LogLevel level);

// Writes one line at once. Does nothing before StartLog. Any thread may call
// it.
void Log(LogLevel level, std::string_view message,
         const std::map<std::string, std::string>& fields = {});

// The same, but lines of level info are gathered until FlushLog.
void LogBuffered(LogLevel level, std::string_view message,
                 const std::map<std::string, std::string>& fields = {});

// Whether a line about a decision, at level info, is to be written now: asked
// before its fields are made. Such lines are limited to
// kMaxDecisionLinesPerSecond; one that is refused for that is counted as
// dropped.
[[nodiscard]] auto AllowDecisionLine(TimePoint now) -> bool;
inline constexpr std::uint32_t kMaxDecisionLinesPerSecond = 200;

// Writes the gathered lines.
void FlushLog();

// Lines that were not written: over the limit, or the reader was too slow.
[[nodiscard]] auto DroppedLogLines() -> std::uint64_t;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_LOG_H_
