#include "Edge/router_log.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <string>

#include "Runtime/log.h"

namespace hemlockwick {

namespace {

using Fields = std::map<std::string, std::string>;

auto MillisOf(Duration time) -> std::string {
  return std::to_string(ToMillis(time));
}

void AddFlow(const RouterEvent& event, Fields& fields) {
  if (event.caller != SocketAddress()) {
    fields["flow"] = ToString(event.caller) + ">" + ToString(event.service);
  }
}

void AddDirectory(const DirectorySnapshot* directory, TimePoint now,
                  Fields& fields) {
  if (directory != nullptr) {
    fields["directory"] = std::to_string(directory->sequence());
    fields["directory_age_ms"] = MillisOf(now - directory->made_at());
    fields["version"] = std::to_string(directory->version().value());
  }
}

// Whether the event concerns a single flow. Such events may be very frequent,
// so the rate of their log lines is limited.
auto IsAboutFlow(RouterEvent::Kind kind) -> bool {
  return kind == RouterEvent::Kind::kFlowOpened ||
         kind == RouterEvent::Kind::kFlowReset ||
         kind == RouterEvent::Kind::kPacketDropped ||
         kind == RouterEvent::Kind::kTokenChanged ||
         kind == RouterEvent::Kind::kTokenCorrected ||
         kind == RouterEvent::Kind::kOpeningMoved ||
         kind == RouterEvent::Kind::kRequestUnanswered ||
         kind == RouterEvent::Kind::kRequestAnswered;
}

auto LevelOf(RouterEvent::Kind kind) -> LogLevel {
  return kind == RouterEvent::Kind::kRequestAnswered ? LogLevel::kDebug
                                                     : LogLevel::kInfo;
}

}  // namespace

auto HexOf(std::uint64_t number) -> std::string {
  constexpr auto kHex = 16;
  auto digits = std::array<char, 2 * sizeof(number)>();
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), number, kHex);
  return {digits.data(), end.ptr};
}

void LogRouterEvent(const RouterEvent& event,
                    const DirectorySnapshot* directory, TimePoint now) {
  const auto level = LevelOf(event.kind);
  if (IsAboutFlow(event.kind) && !AllowDecisionLine(level, now)) {
    return;
  }
  auto fields = Fields();
  AddFlow(event, fields);
  if (event.token != kNoToken) {
    fields["endpoint"] = HexOf(event.token.value());
  }
  if (!event.detail.empty()) {
    fields["reason"] = event.detail;
  }
  if (event.kind == RouterEvent::Kind::kFlowOpened ||
      event.kind == RouterEvent::Kind::kOpeningMoved) {
    fields["copy"] = std::to_string(event.copy);
  }
  if (event.kind == RouterEvent::Kind::kFlowOpened ||
      event.kind == RouterEvent::Kind::kRequestAnswered) {
    fields["waiting"] = std::to_string(event.waiting);
  }
  if (event.unanswered_packets > 0) {
    fields["signs"] = std::to_string(event.unanswered_packets);
  }
  if (event.age > Duration(0)) {
    fields["age_ms"] = MillisOf(event.age);
  }
  if (event.since_any_answer) {
    fields["any_answer_ms"] = MillisOf(*event.since_any_answer);
  }
  AddDirectory(directory, now, fields);
  LogBuffered(level, ToString(event.kind), fields);
}

namespace {

void LogDirectoryEvent(const DirectoryEvent& event) {
  if (event.kind == DirectoryEvent::Kind::kRoutesInForce) {
    LogBuffered(LogLevel::kInfo, ToString(event.kind),
                {{"version", std::to_string(event.version.value())}});
    return;
  }
  LogBuffered(LogLevel::kInfo, ToString(event.kind),
              {{"endpoint", HexOf(event.endpoint.value())}});
}

// Logs the numbers of events without a line of their own, if there are any.
void LogCounts(const std::map<std::string, std::size_t>& counts) {
  auto fields = Fields();
  for (const auto& [kind, count] : counts) {
    fields[kind] = std::to_string(count);
  }
  if (!fields.empty()) {
    LogBuffered(LogLevel::kInfo, "directory_events_summed", fields);
  }
}

}  // namespace

void LogDirectoryEvents(std::span<const DirectoryEvent> events) {
  const auto lines = std::min(events.size(), kMaxEventLines);
  for (const auto& event : events.first(lines)) {
    LogDirectoryEvent(event);
  }
  auto counts = std::map<std::string, std::size_t>();
  for (const auto& event : events.subspan(lines)) {
    ++counts[ToString(event.kind)];
  }
  LogCounts(counts);
}

namespace {

auto NameOf(const EvacuationEvent& event) -> std::string {
  return event.evacuation.is_evacuated ? "data_centre_evacuated"
                                       : "data_centre_taken_back";
}

}  // namespace

void LogEvacuations(std::span<const EvacuationEvent> events) {
  const auto lines = std::min(events.size(), kMaxEventLines);
  for (const auto& event : events.first(lines)) {
    const auto& evacuation = event.evacuation;
    auto fields =
        Fields{{"data_centre", evacuation.data_centre},
               {"revision", std::to_string(evacuation.revision.value())}};
    if (!evacuation.is_evacuated) {
      fields["duration_ms"] = MillisOf(event.duration);
    }
    LogBuffered(LogLevel::kInfo, NameOf(event), fields);
  }
  auto counts = std::map<std::string, std::size_t>();
  for (const auto& event : events.subspan(lines)) {
    ++counts[NameOf(event)];
  }
  LogCounts(counts);
}

}  // namespace hemlockwick
