#include "Timeline/event_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace hemlockwick {

namespace {

using nlohmann::json;

auto ToJson(const Event& event) -> json {
  return json{{"stamp", ToString(event.stamp)},
              {"instance", event.instance},
              {"event", ToString(event.kind)},
              {"subject", event.subject},
              {"detail", event.detail}};
}

auto ParseEventKind(std::string_view name) -> Result<EventKind> {
  const auto last = static_cast<int>(EventKind::kRecordsEvicted);
  for (int number = 0; number <= last; ++number) {
    const auto kind = static_cast<EventKind>(number);
    if (ToString(kind) == name) {
      return kind;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown event '" + std::string(name) + "'");
}

auto ToEvent(std::string_view line) -> Result<Event> {
  try {
    const auto value = json::parse(line);
    auto event = Event();
    BOOST_LEAF_ASSIGN(
        event.stamp,
        ParseHlcStamp(value.at("stamp").get_ref<const std::string&>()));
    BOOST_LEAF_ASSIGN(
        event.kind,
        ParseEventKind(value.at("event").get_ref<const std::string&>()));
    event.instance = value.at("instance").get<std::string>();
    event.subject = value.value("subject", "");
    event.detail = value.value("detail", "");
    return event;
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument, error.what());
  }
}

// Decodes one line; an error names the line's number.
auto ToEvent(std::string_view line, int number) -> Result<Event> {
  auto problem = std::string();
  auto event = TryOr([line]() -> Result<Event> { return ToEvent(line); },
                     [&problem](const Error& error) {
                       problem = error.message;
                       return Event();
                     });
  if (!problem.empty()) {
    return Fail(
        ErrorCode::kInvalidArgument,
        "line " + std::to_string(number) + " is not an event: " + problem,
        "give files as 'timeline --format json' writes them");
  }
  return event;
}

}  // namespace

auto ToString(const HlcStamp& stamp) -> std::string {
  return std::to_string(stamp.unix_millis) + "." +
         std::to_string(stamp.counter);
}

auto ParseHlcStamp(std::string_view text) -> Result<HlcStamp> {
  auto stamp = HlcStamp();
  const auto* const end = text.data() + text.size();
  const auto millis = std::from_chars(text.data(), end, stamp.unix_millis);
  if (millis.ec == std::errc() && millis.ptr != end && *millis.ptr == '.') {
    const auto counter = std::from_chars(millis.ptr + 1, end, stamp.counter);
    if (counter.ec == std::errc() && counter.ptr == end) {
      return stamp;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "'" + std::string(text) + "' is not a stamp",
              "write it as MILLIS.COUNTER");
}

auto EncodeEvents(const std::vector<Event>& events) -> std::string {
  auto text = std::string();
  for (const auto& event : events) {
    text += ToJson(event).dump(-1, ' ', false, json::error_handler_t::replace);
    text += '\n';
  }
  return text;
}

auto DecodeEvents(std::string_view text) -> Result<std::vector<Event>> {
  auto events = std::vector<Event>();
  for (auto number = 1; !text.empty(); ++number) {
    const auto length = std::min(text.find('\n'), text.size());
    const auto line = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    if (line.empty()) {
      continue;
    }
    BOOST_LEAF_AUTO(event, ToEvent(line, number));
    events.push_back(std::move(event));
  }
  return events;
}

}  // namespace hemlockwick
