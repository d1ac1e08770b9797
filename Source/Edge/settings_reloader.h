#ifndef HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_
#define HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_

#include <string>
#include <string_view>

#include "Core/time.h"
#include "Runtime/settings.h"

namespace hemlockwick {

// Notices changes of the settings file. The log level is taken at once; other
// keys need a restart, which the log says.
class SettingsReloader {
 public:
  // `settings` are those that the process has started with.
  SettingsReloader(std::string file, ServeSettings settings);

  // Reads the file again when some time has passed since the last look.
  void OnTick(TimePoint now);

  // Reads the file now. `cause` appears in the log.
  void Reload(std::string_view cause);

 private:
  auto ReadText() const -> std::string;
  void Compare(const ServeSettings& next, std::string_view cause);

  const std::string file_;
  ServeSettings running_;  // What the process runs with.
  std::string text_;
  TimePoint next_poll_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_SETTINGS_RELOADER_H_
