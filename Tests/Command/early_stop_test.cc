// Sends SIGTERM to a process that is still reading its settings. Without a
// handler yet, the default action ended it with exit code 143, as if it had
// been killed. The settings come from a named pipe, which holds the process in
// that state until the signal is sent.
#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>

#include "Runtime/file_descriptor.h"
#include "Runtime/socket.h"
#include "StandIn/await.h"
#include "StandIn/instance_process.h"
#include "StandIn/loopback.h"

namespace hemlockwick {

namespace {

constexpr Duration kAwaitBound = std::chrono::minutes(1);

auto FreeAddress() -> std::string {
  const auto listener = ListenTcp(AnyLoopbackPort());
  cr_assert(static_cast<bool>(listener));
  return ToString(LocalAddress(listener.value()));
}

// Settings of an instance whose platform does not answer.
auto SettingsText() -> std::string {
  const auto address = FreeAddress();
  return "name: early\ndata_centre: a\nhttp: " + address +
         "\npacket: " + address + "\nplatform: " + FreeAddress() +
         "\nleave_grace: 0ms\ndrain_deadline: 5s\n";
}

// A named pipe in a folder of its own from which a program reads its settings.
class SettingsPipe {
 public:
  SettingsPipe() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "early-stop-XXXXXX").string();
    cr_assert_neq(mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
    constexpr auto kMode = 0600;
    cr_assert_eq(mkfifo(path().c_str(), kMode), 0);
  }
  ~SettingsPipe() {
    auto ignored = std::error_code();
    std::filesystem::remove_all(folder_, ignored);
  }
  SettingsPipe(const SettingsPipe&) = delete;
  auto operator=(const SettingsPipe&) -> SettingsPipe& = delete;

  [[nodiscard]] auto path() const -> std::string {
    return folder_ / "settings.yaml";
  }
  [[nodiscard]] auto log() const -> std::string { return folder_ / "log"; }
  [[nodiscard]] auto LogText() const -> std::string {
    auto text = std::stringstream();
    text << std::ifstream(log()).rdbuf();
    return text.str();
  }

  // Gives `text` to the program, and leaves a plain file in the pipe's place,
  // which the program may read again. Returns false while no program has opened
  // the pipe.
  [[nodiscard]] auto TryWrite(const std::string& text) const -> bool {
    const auto pipe =
        FileDescriptor(open(path().c_str(), O_WRONLY | O_NONBLOCK));
    if (!pipe.valid()) {
      return false;
    }
    std::filesystem::remove(path());
    std::ofstream(path()) << text;
    const auto written = write(pipe.get(), text.data(), text.size());
    return written == static_cast<ssize_t>(text.size());
  }

 private:
  std::filesystem::path folder_;
};

void ExpectPlannedStop(const std::string& command) {
  const auto pipe = SettingsPipe();
  const auto started = InstanceProcess::Start(HEMLOCKWICK_PROGRAM, command,
                                              pipe.path(), pipe.log());
  cr_assert(static_cast<bool>(started));
  auto& process = *started.value();
  // The program ignores SIGHUP last of all before it reads its settings.
  cr_assert(Await([&] { return process.Handles(SIGHUP); }, kAwaitBound));
  process.Signal(SIGTERM);
  const auto settings = SettingsText();
  cr_assert(Await([&] { return process.Ended() || pipe.TryWrite(settings); },
                  kAwaitBound));
  cr_assert(Await([&] { return process.Ended(); }, kAwaitBound));
  cr_assert(process.exit_code().has_value(), "%s was killed", command.c_str());
  cr_assert_eq(*process.exit_code(), 0, "%s: %s", command.c_str(),
               pipe.LogText().c_str());
  cr_assert_neq(pipe.LogText().find("\"stopped\""), std::string::npos);
}

Test(early_stop, edge_stops_in_order) { ExpectPlannedStop("edge"); }

Test(early_stop, serve_stops_in_order) { ExpectPlannedStop("serve"); }

}  // namespace

}  // namespace hemlockwick
