#include "Edge/router_log.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "Edge/log_lines.h"

namespace hemlockwick {
namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};

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

auto Answered() -> RouterEvent {
  return {.kind = RouterEvent::Kind::kRequestAnswered,
          .caller = {Ipv4Address(0x64400007), Port(1000)},
          .service = {Ipv4Address(0xC6120001), Port(443)},
          .token = TokenOf(EndpointId(1)),
          .waiting = 2,
          .age = std::chrono::milliseconds(40)};
}

// At a few hundred requests a second and instance, lines about answers would
// displace those about decisions.
Test(router_log, answers_are_logged_at_level_debug_only) {
  const auto log = [] { LogRouterEvent(Answered(), nullptr, kNow); };
  cr_assert_eq(LinesOf(log).size(), 0U);
  const auto lines = LinesOf([&] {
    SetLogLevel(LogLevel::kDebug);
    log();
  });
  cr_assert_eq(lines.size(), 1U);
  cr_assert(lines.front().find(R"("age_ms":"40")") != std::string::npos);
  cr_assert(lines.front().find(R"("waiting":"2")") != std::string::npos);
}

}  // namespace
}  // namespace hemlockwick
