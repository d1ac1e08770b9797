#include "StandIn/instance_process.h"

#include <criterion/criterion.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include "StandIn/await.h"

namespace hemlockwick {

namespace {

constexpr Duration kAwaitBound = std::chrono::seconds(30);

// A folder with a shell script that prints its process id and goes on.
class Script {
 public:
  Script() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "process-XXXXXX").string();
    cr_assert_neq(mkdtemp(pattern.data()), nullptr);
    folder_ = pattern;
    std::ofstream(path()) << "echo $$\nexec sleep 300\n";
  }
  ~Script() {
    auto ignored = std::error_code();
    std::filesystem::remove_all(folder_, ignored);
  }
  Script(const Script&) = delete;
  auto operator=(const Script&) -> Script& = delete;

  [[nodiscard]] auto path() const -> std::string { return folder_ / "script"; }
  [[nodiscard]] auto log() const -> std::string { return folder_ / "log"; }
  // The id that the script has printed, 0 until then.
  [[nodiscard]] auto process_id() const -> pid_t {
    auto id = pid_t{0};
    std::ifstream(log()) >> id;
    return id;
  }

 private:
  std::filesystem::path folder_;
};

auto StartScript(const Script& script)
    -> Result<std::unique_ptr<InstanceProcess>> {
  return InstanceProcess::Start("/bin/sh", script.path(), "none", script.log());
}

// Whether the process was killed; reaps it.
auto WasKilled(pid_t id) -> bool {
  auto status = 0;
  return waitpid(id, &status, WNOHANG) == id && WIFSIGNALED(status) &&
         WTERMSIG(status) == SIGKILL;
}

// A soak that crashes must leave no process behind.
Test(instance_process, ends_with_its_starter) {
  // The orphan becomes a child of this process.
  cr_assert_eq(prctl(PR_SET_CHILD_SUBREAPER, 1), 0);
  const auto script = Script();
  const auto starter = fork();
  if (starter == 0) {
    const auto process = StartScript(script);
    pause();
  }
  cr_assert(Await([&] { return script.process_id() != 0; }, kAwaitBound));
  kill(starter, SIGKILL);
  cr_assert(Await([&] { return WasKilled(starter); }, kAwaitBound));
  const auto ended =
      Await([&] { return WasKilled(script.process_id()); }, kAwaitBound);
  if (!ended) {
    kill(script.process_id(), SIGKILL);
  }
  cr_assert(ended);
}

Test(instance_process, is_killed_when_its_owner_goes) {
  const auto script = Script();
  {
    const auto process = StartScript(script);
    cr_assert(static_cast<bool>(process));
    cr_assert(Await([&] { return script.process_id() != 0; }, kAwaitBound));
    cr_assert_not(process.value()->Ended());
  }
  cr_assert_eq(kill(script.process_id(), 0), -1);
}

Test(instance_process, missing_program_is_an_error) {
  const auto script = Script();
  const auto process = InstanceProcess::Start("/nonexistent/program", "none",
                                              "none", script.log());
  cr_assert_not(static_cast<bool>(process));
}

}  // namespace

}  // namespace hemlockwick
