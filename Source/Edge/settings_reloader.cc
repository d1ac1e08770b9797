#include "Edge/settings_reloader.h"

#include <algorithm>
#include <utility>

#include "Runtime/log.h"

namespace hemlockwick {

namespace {

// Interval between checks of the file.
constexpr Duration kPollInterval = std::chrono::seconds(5);

// Whether any key differs that takes effect only after a restart.
auto NeedsRestart(const ServeSettings& running, ServeSettings next) -> bool {
  next.log_level = running.log_level;
  return next != running;
}

}  // namespace

SettingsReloader::SettingsReloader(std::string file, ServeSettings settings)
    : file_(std::move(file)),
      running_(std::move(settings)),
      text_(ReadText()) {}

void SettingsReloader::OnTick(TimePoint now) {
  if (now < next_poll_) {
    return;
  }
  next_poll_ = now + kPollInterval;
  if (ReadText() != text_) {
    Reload("file changed");
  }
}

void SettingsReloader::Reload(std::string_view cause) {
  text_ = ReadText();
  const auto parsed = ParseSettings(text_, file_);
  for (const auto& finding : parsed.findings) {
    Log(LogLevel::kError, "settings_refused",
        {{"cause", std::string(cause)}, {"finding", ToString(finding)}});
  }
  if (parsed.findings.empty()) {
    Compare(parsed.settings, cause);
  }
}

auto SettingsReloader::ReadText() const -> std::string {
  return TryOr([this] { return ReadTextFile(file_); },
               [](const Error& error) {
                 Log(LogLevel::kError, "settings_unreadable",
                     {{"error", error.message}});
                 return std::string();
               });
}

void SettingsReloader::Compare(const ServeSettings& next,
                               std::string_view cause) {
  // Uses the more verbose of both levels, so that the change is logged when
  // either level allows it.
  SetLogLevel(std::min(next.log_level, running_.log_level));
  const auto needs_restart = NeedsRestart(running_, next);
  Log(needs_restart ? LogLevel::kWarning : LogLevel::kInfo, "settings_reloaded",
      {{"cause", std::string(cause)},
       {"needs_restart", needs_restart ? "true" : "false"}});
  SetLogLevel(next.log_level);
  running_.log_level = next.log_level;
}

}  // namespace hemlockwick
