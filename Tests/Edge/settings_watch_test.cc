#include "Edge/settings_watch.h"

#include <criterion/criterion.h>

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

// A settings file that an edge process has started with.
class File {
 public:
  explicit File(std::string name) : name_(std::move(name)) { Write(""); }
  ~File() { std::remove(name_.c_str()); }
  File(const File&) = delete;
  auto operator=(const File&) -> File& = delete;

  void Write(const std::string& more) const {
    std::ofstream(name_) << kBase << more;
  }
  auto Watch() const -> SettingsWatch {
    return {name_, ParseSettings(kBase, name_).settings};
  }

 private:
  std::string name_;
};

auto Contains(const std::string& line, const std::string& part) -> bool {
  return line.find(part) != std::string::npos;
}

constexpr auto kNeedsRestart = R"("needs_restart":"true")";
constexpr auto kNeedsNone = R"("needs_restart":"false")";

Test(settings_watch, every_key_but_the_log_level_needs_a_restart) {
  const auto file = File("/tmp/settings_watch_test_1.yaml");
  const auto lines = LinesOf([&file] {
    auto watch = file.Watch();
    file.Write("log_level: debug\n");
    watch.Reload("signal");
    file.Write("leave_grace: 3s\n");
    watch.Reload("signal");
    file.Write("metrics: 127.0.0.1:9\n");
    watch.Reload("signal");
  });
  cr_assert_eq(lines.size(), 3U);
  cr_assert(Contains(lines[0], kNeedsNone));
  cr_assert(Contains(lines[1], kNeedsRestart));
  cr_assert(Contains(lines[2], kNeedsRestart));
}

// The process still runs with what it started with.
Test(settings_watch, a_restart_stays_needed) {
  const auto file = File("/tmp/settings_watch_test_2.yaml");
  const auto lines = LinesOf([&file] {
    auto watch = file.Watch();
    file.Write("metrics: 127.0.0.1:9\n");
    watch.Reload("signal");
    watch.Reload("signal");
    file.Write("");
    watch.Reload("signal");
  });
  cr_assert_eq(lines.size(), 3U);
  cr_assert(Contains(lines[1], kNeedsRestart));
  cr_assert(Contains(lines[2], kNeedsNone));
}

Test(settings_watch, a_reload_has_its_line_when_the_level_is_raised) {
  const auto file = File("/tmp/settings_watch_test_3.yaml");
  const auto lines = LinesOf([&file] {
    auto watch = file.Watch();
    file.Write("log_level: warning\n");
    watch.Reload("signal");
    file.Write("log_level: info\n");
    watch.Reload("signal");
  });
  cr_assert_eq(lines.size(), 2U);
}

Test(settings_watch, a_bad_file_changes_nothing) {
  const auto file = File("/tmp/settings_watch_test_4.yaml");
  const auto lines = LinesOf([&file] {
    auto watch = file.Watch();
    file.Write("leave_grace: x\n");
    watch.Reload("signal");
    Log(LogLevel::kInfo, "still_logged");
  });
  cr_assert_eq(lines.size(), 2U);
  cr_assert(Contains(lines[0], "settings_refused"));
}

}  // namespace
}  // namespace hemlockwick
