#include "Edge/router_log.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "Edge/log_lines.h"

namespace hemlockwick {
namespace {

auto Missing(std::size_t count) -> std::vector<DirectoryEvent> {
  auto events = std::vector<DirectoryEvent>();
  for (std::size_t i = 0; i < count; ++i) {
    events.push_back(
        {DirectoryEvent::Kind::kEndpointMissing, EndpointId(1 + i), {}});
  }
  return events;
}

Test(router_log, few_changes_are_logged_one_by_one) {
  const auto lines = LinesOf([] { LogDirectoryEvents(Missing(10)); });
  cr_assert_eq(lines.size(), 10U);
  cr_assert(lines.back().find(R"("endpoint":"a")") != std::string::npos);
}

// Thousands of entries may change at once, and one log line for each would be
// too much for instances with a small share of a processor.
Test(router_log, many_changes_are_summarised) {
  const auto lines = LinesOf([] { LogDirectoryEvents(Missing(3000)); });
  cr_assert_eq(lines.size(), kMaxEventLines + 1);
  cr_assert(lines.back().find(R"("endpoint_missing":"2936")") !=
            std::string::npos);
}

}  // namespace
}  // namespace hemlockwick
