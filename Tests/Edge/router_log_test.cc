#include "Edge/router_log.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <string>
#include <vector>

#include "Runtime/log.h"

namespace hemlockwick {
namespace {

// The lines that `write` logs; each test runs in a process of its own.
template <typename Write>
auto LinesOf(Write write) -> std::vector<std::string> {
  auto name = std::string("/tmp/router_log_XXXXXX");
  const auto file = mkstemp(name.data());
  cr_assert_geq(file, 0);
  dup2(file, STDOUT_FILENO);
  StartLog("test", LogLevel::kInfo);
  write();
  FlushLog();
  auto lines = std::vector<std::string>();
  auto in = std::ifstream(name);
  for (auto line = std::string(); std::getline(in, line);) {
    lines.push_back(line);
  }
  unlink(name.c_str());
  return lines;
}

auto Missing(std::size_t count) -> std::vector<DirectoryEvent> {
  auto events = std::vector<DirectoryEvent>();
  for (std::size_t i = 0; i < count; ++i) {
    events.push_back(
        {DirectoryEvent::Kind::kEndpointMissing, EndpointId(1 + i), {}});
  }
  return events;
}

Test(router_log, each_of_a_few_changes_has_its_line) {
  const auto lines = LinesOf([] { LogDirectoryEvents(Missing(10)); });
  cr_assert_eq(lines.size(), 10U);
  cr_assert(lines.back().find(R"("endpoint":"a")") != std::string::npos);
}

// Thousands of entries may change at once, on instances with a small share of a
// processor.
Test(router_log, very_many_changes_are_summed) {
  const auto lines = LinesOf([] { LogDirectoryEvents(Missing(3000)); });
  cr_assert_eq(lines.size(), kMaxEventLines + 1);
  cr_assert(lines.back().find(R"("endpoint_missing":"2936")") !=
            std::string::npos);
}

}  // namespace
}  // namespace hemlockwick
