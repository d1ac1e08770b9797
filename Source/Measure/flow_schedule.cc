#include "Measure/flow_schedule.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <optional>

namespace hemlockwick {

namespace {

struct KindName {
  FlowEventKind kind;
  std::string_view name;
};

constexpr auto kKindNames = std::array{
    KindName{FlowEventKind::kDrain, "drain"},
    KindName{FlowEventKind::kAdd, "add"},
    KindName{FlowEventKind::kReplace, "replace"},
    KindName{FlowEventKind::kStop, "stop"},
    KindName{FlowEventKind::kKill, "kill"},
    KindName{FlowEventKind::kJoin, "join"},
    KindName{FlowEventKind::kRolling, "rolling"},
    KindName{FlowEventKind::kPause, "pause"},
    KindName{FlowEventKind::kPartition, "partition"},
};

constexpr Duration kStandingChange = std::chrono::seconds(30);
constexpr Duration kFirstEvent = std::chrono::seconds(90);
constexpr Duration kAtOnce = std::chrono::milliseconds(700);
constexpr Duration kLater = std::chrono::seconds(45);
constexpr Duration kPauseLength = std::chrono::seconds(30);
constexpr Duration kPartitionLength = std::chrono::seconds(60);

auto FindKind(const std::string& name) -> std::optional<FlowEventKind> {
  for (const auto& entry : kKindNames) {
    if (entry.name == name) {
      return entry.kind;
    }
  }
  return std::nullopt;
}

auto ToDuration(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

// A change of endpoints that leaves unsettled buckets to every other event.
auto StandingChange() -> FlowEvent {
  auto event = FlowEvent();
  event.kind = FlowEventKind::kReplace;
  event.at = kStandingChange;
  event.target = 5;
  return event;
}

// `order` tells the first event of a pair from the second.
auto MakeEvent(FlowEventKind kind, std::size_t order, Duration gap)
    -> FlowEvent {
  auto event = FlowEvent();
  event.kind = kind;
  event.at = kFirstEvent + gap;
  event.target = order * 3 + 1;
  if (kind == FlowEventKind::kPause) {
    event.length = kPauseLength;
  }
  if (kind == FlowEventKind::kPartition) {
    event.length = kPartitionLength;
    event.target = order;
  }
  return event;
}

auto MakePair(const KindName& first, const KindName& second,
              std::string_view separator, Duration gap) -> FlowSchedule {
  auto pair = FlowSchedule();
  pair.name = first.name;
  pair.name += separator;
  pair.name += second.name;
  pair.events = {StandingChange(), MakeEvent(first.kind, 0, Duration(0)),
                 MakeEvent(second.kind, 1, gap)};
  return pair;
}

auto ReadEvent(const YAML::Node& node) -> std::optional<FlowEvent> {
  const auto kind = FindKind(node["do"].as<std::string>());
  if (!kind) {
    return std::nullopt;
  }
  auto event = FlowEvent();
  event.kind = *kind;
  event.at = ToDuration(node["at"].as<double>());
  event.target = node["target"].as<std::size_t>(0);
  event.length = ToDuration(node["for"].as<double>(0));
  return event;
}

auto At(const std::string& path, const YAML::Mark& mark) -> std::string {
  return path + ":" + std::to_string(mark.line + 1) + ": ";
}

auto ParseSchedule(const std::string& path) -> Result<FlowSchedule> {
  const auto root = YAML::LoadFile(path);
  auto schedule = FlowSchedule();
  schedule.name = root["name"].as<std::string>();
  schedule.duration = ToDuration(root["duration"].as<double>());
  schedule.flows_per_endpoint =
      root["flows_per_endpoint"].as<std::size_t>(schedule.flows_per_endpoint);
  for (const auto& node : root["events"]) {
    const auto event = ReadEvent(node);
    if (!event) {
      return Fail(ErrorCode::kInvalidArgument,
                  At(path, node.Mark()) + "unknown event",
                  "use one of the events in docs/help/measure-flows.md");
    }
    schedule.events.push_back(*event);
  }
  std::stable_sort(
      schedule.events.begin(), schedule.events.end(),
      [](const FlowEvent& a, const FlowEvent& b) { return a.at < b.at; });
  return schedule;
}

}  // namespace

auto ToString(FlowEventKind kind) -> std::string_view {
  for (const auto& entry : kKindNames) {
    if (entry.kind == kind) {
      return entry.name;
    }
  }
  return "unknown";
}

auto ReadFlowSchedule(const std::string& path) -> Result<FlowSchedule> {
  if (!std::filesystem::exists(path)) {
    return Fail(ErrorCode::kNotFound, "no such schedule: " + path);
  }
  try {
    return ParseSchedule(path);
  } catch (const YAML::Exception& error) {
    return Fail(ErrorCode::kInvalidArgument, At(path, error.mark) + error.msg);
  }
}

auto StandardFlowSchedules() -> std::vector<FlowSchedule> {
  auto schedules = std::vector<FlowSchedule>();
  for (const auto& first : kKindNames) {
    auto alone = FlowSchedule();
    alone.name = std::string(first.name);
    alone.events = {StandingChange(), MakeEvent(first.kind, 0, Duration(0))};
    schedules.push_back(alone);
  }
  for (const auto& first : kKindNames) {
    for (const auto& second : kKindNames) {
      // Both orders when one event comes later.
      if (first.kind <= second.kind) {
        schedules.push_back(MakePair(first, second, "+", kAtOnce));
      }
      schedules.push_back(MakePair(first, second, ",", kLater));
    }
  }
  return schedules;
}

auto DayFlowSchedule() -> FlowSchedule {
  constexpr auto kHours = std::size_t{24};
  constexpr auto kChanges = std::size_t{7};
  auto schedule = FlowSchedule();
  schedule.name = "day";
  schedule.duration = std::chrono::hours(kHours);
  schedule.flows_per_endpoint = 200;
  for (std::size_t hour = 1; hour < kHours; ++hour) {
    auto event = MakeEvent(kKindNames[hour % kChanges].kind, 0, Duration(0));
    event.at = std::chrono::hours(hour);
    event.target = hour;
    schedule.events.push_back(event);
  }
  return schedule;
}

auto HasTwoDeaths(const FlowSchedule& schedule) -> bool {
  const auto deaths = std::count_if(
      schedule.events.begin(), schedule.events.end(),
      [](const FlowEvent& e) { return e.kind == FlowEventKind::kKill; });
  return deaths > 1;
}

}  // namespace hemlockwick
