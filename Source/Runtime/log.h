#ifndef HEMLOCKWICK_RUNTIME_LOG_H_
#define HEMLOCKWICK_RUNTIME_LOG_H_

#include <map>
#include <string>
#include <string_view>

namespace hemlockwick {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Sends the log of this process to standard output, one JSON object a line,
// from `level` on. `instance` is part of each line.
void StartLog(std::string_view instance, LogLevel level);

// Writes one line. Does nothing before StartLog. Any thread may call it.
void Log(LogLevel level, std::string_view message,
         const std::map<std::string, std::string>& fields = {});

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_LOG_H_
