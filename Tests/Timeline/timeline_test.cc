#include "Timeline/timeline.h"

#include <criterion/criterion.h>

#include "Timeline/event_codec.h"
#include "Timeline/event_log.h"

namespace hemlockwick {
namespace {

auto Decode(const std::string& text) -> std::vector<Event> {
  return TryOr(
      [&text]() -> Result<std::vector<Event>> { return DecodeEvents(text); },
      [](const Error&) { return std::vector<Event>(); });
}

Test(event_codec, round_trips_every_kind) {
  auto events = std::vector<Event>();
  const auto last = static_cast<int>(EventKind::kRecordsEvicted);
  for (auto kind = 0; kind <= last; ++kind) {
    events.push_back(
        Event{HlcStamp{kind, 7}, "a\"b", EventKind(kind), "x\n", "y"});
  }
  const auto text = EncodeEvents(events);
  cr_assert(Decode(text).size() == events.size());
  cr_assert(EncodeEvents(Decode(text)) == text);
}

Test(event_codec, rejects_malformed_lines) {
  for (const auto* text :
       {"x", "{}", R"({"stamp":"1","instance":"a","event":"member_dead"})",
        R"({"stamp":"1.2","instance":"a","event":"other"})"}) {
    cr_assert(Decode(text).empty(), "accepted '%s'", text);
  }
}

// An event must come after its cause in another process even when the clock of
// the process that records the effect is behind.
Test(timeline, orders_cause_before_effect_despite_clock_skew) {
  const auto now = FromUnixMillis(10'000);
  auto ahead = EventLog("ahead");
  auto behind = EventLog("behind");
  ahead.Record(EventKind::kVersionInForce, "7", "", now);
  behind.Observe(ahead.Stamp(now), now - std::chrono::milliseconds(400));
  behind.Record(EventKind::kVersionInForce, "7", "",
                now - std::chrono::milliseconds(399));
  auto events = behind.Since({});
  const auto first = ahead.Since({});
  events.insert(events.end(), first.begin(), first.end());
  const auto merged = MergeEvents(events);
  cr_assert(merged.size() == 2);
  cr_assert(merged[0].instance == "ahead");
}

Test(timeline, removes_duplicate_events) {
  const auto event =
      Event{HlcStamp{1, 2}, "a", EventKind::kMemberDead, "b", ""};
  cr_assert(MergeEvents({event, event}).size() == 1);
}

Test(timeline, svg_and_html_escape_names) {
  const auto event =
      Event{HlcStamp{1, 2}, "<a>", EventKind::kMemberDead, "b&c", ""};
  for (const auto& document : {RenderSvg({event}), RenderHtml({event})}) {
    cr_assert(document.find("<a>") == std::string::npos);
    cr_assert(document.find("&lt;a&gt;") != std::string::npos);
    cr_assert(document.find("b&amp;c") != std::string::npos);
  }
}

Test(timeline, renders_an_empty_event_list) {
  cr_assert(RenderText({}).empty());
  cr_assert(RenderSvg({}).find("</svg>") != std::string::npos);
}

}  // namespace
}  // namespace hemlockwick
