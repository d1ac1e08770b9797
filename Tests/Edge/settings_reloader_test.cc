#include "Edge/settings_reloader.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "Edge/log_lines.h"

namespace hemlockwick {
namespace {

constexpr auto kBase = R"(name: edge-1
data_centre: a
http: 127.0.0.1:1
packet: 127.0.0.1:2
platform: 127.0.0.1:3
relay: 127.0.0.1:4
seeds: [127.0.0.1:4]
)";

// Starts with the settings kBase and reloads the file once for each of `texts`,
// which follows kBase in the file.
void ReloadEach(const std::vector<std::string>& texts) {
  const auto file =
      "/tmp/settings_watch_test_" + std::to_string(getpid()) + ".yaml";
  std::ofstream(file) << kBase;
  auto watch = SettingsReloader(file, ParseSettings(kBase, file).settings);
  for (const auto& text : texts) {
    std::ofstream(file) << kBase << text;
    watch.Reload("signal");
  }
  std::remove(file.c_str());
}

auto Contains(const std::string& line, const std::string& part) -> bool {
  return line.find(part) != std::string::npos;
}

constexpr auto kNeedsRestart = R"("needs_restart":"true")";
constexpr auto kNeedsNone = R"("needs_restart":"false")";

Test(settings_reloader, every_key_but_the_log_level_needs_a_restart) {
  const auto lines = LinesOf([] {
    ReloadEach(
        {"log_level: debug\n", "leave_grace: 3s\n", "metrics: 127.0.0.1:9\n"});
  });
  cr_assert_eq(lines.size(), 3U);
  cr_assert(Contains(lines[0], kNeedsNone));
  cr_assert(Contains(lines[1], kNeedsRestart));
  cr_assert(Contains(lines[2], kNeedsRestart));
}

// The process still runs with the settings with which it has started, so a
// second reload of the same change has to report the restart too.
Test(settings_reloader, a_restart_stays_needed) {
  const auto changed = std::string("metrics: 127.0.0.1:9\n");
  const auto lines = LinesOf([&changed] {
    ReloadEach({changed, changed, ""});
  });
  cr_assert_eq(lines.size(), 3U);
  cr_assert(Contains(lines[1], kNeedsRestart));
  cr_assert(Contains(lines[2], kNeedsNone));
}

Test(settings_reloader, a_reload_is_logged_when_the_level_is_raised) {
  const auto lines = LinesOf([] {
    ReloadEach({"log_level: warning\n", "log_level: info\n"});
  });
  cr_assert_eq(lines.size(), 2U);
}

Test(settings_reloader, a_bad_file_changes_nothing) {
  const auto lines = LinesOf([] {
    ReloadEach({"leave_grace: x\n"});
    Log(LogLevel::kInfo, "still_logged");
  });
  cr_assert_eq(lines.size(), 2U);
  cr_assert(Contains(lines[0], "settings_refused"));
}

}  // namespace
}  // namespace hemlockwick
