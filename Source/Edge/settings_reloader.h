#ifndef HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_
#define HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_

#include <string>
#include <string_view>

#include "Core/time.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// Follows changes of the settings file. A new log level is applied at once;
// other keys need a restart, which is logged.
class SettingsReloader {
 public:
  // `settings` are those with which the process has started.
  SettingsReloader(std::string file, ServeSettings settings);

  // Checks the file for changes at an interval of some seconds.
  void OnTick(TimePoint now);

  // Reloads the file now. `cause` appears in the log.
  void Reload(std::string_view cause);

 private:
  auto ReadText() const -> std::string;
  void Compare(const ServeSettings& next, std::string_view cause);

  const std::string file_;
  ServeSettings running_;  // Settings in effect.
  std::string text_;
  TimePoint next_poll_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_
