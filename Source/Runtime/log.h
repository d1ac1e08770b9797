#ifndef HEMLOCKWICK_RUNTIME_LOG_H_
#define HEMLOCKWICK_RUNTIME_LOG_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Core/time.h"

namespace hemlockwick {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Starts the log of this process: lines of severity `level` and above are
// written to standard output, one JSON object per line. `instance` is part of
// each line. Logging never blocks on a slow reader of standard output.
void StartLog(std::string_view instance, LogLevel level);

// Changes the minimum severity of the lines written. Any thread may call it.
void SetLogLevel(LogLevel level);

// Writes one line immediately. Does nothing before StartLog. Any thread may
// call it.
void Log(LogLevel level, std::string_view message,
         const std::map<std::string, std::string>& fields = {});

// Like Log, but lines below level warning are buffered until FlushLog or until
// PIPE_BUF bytes are buffered.
void LogBuffered(LogLevel level, std::string_view message,
                 const std::map<std::string, std::string>& fields = {});

// Whether lines of severity `level` are written.
[[nodiscard]] auto IsLogged(LogLevel level) -> bool;

// Returns whether a line of severity `level` about a routing decision may be
// written now. To be called before building the fields of the line. At most
// kMaxDecisionLinesPerSecond lines are allowed; lines refused because of that
// limit are counted as dropped.
[[nodiscard]] auto AllowDecisionLine(LogLevel level, TimePoint now) -> bool;
inline constexpr std::uint32_t kMaxDecisionLinesPerSecond = 200;

// Writes the buffered lines.
void FlushLog();

// Number of lines not written because of the rate limit or a slow reader.
[[nodiscard]] auto DroppedLogLines() -> std::uint64_t;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_LOG_H_
