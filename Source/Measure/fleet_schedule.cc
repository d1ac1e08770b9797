#include "Measure/fleet_schedule.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <utility>

#include "Config/quantity.h"

namespace hemlockwick {

namespace {

constexpr auto kFaultNames = std::array{
    std::pair{FaultKind::kPublish, std::string_view("publish")},
    std::pair{FaultKind::kKill, std::string_view("kill")},
    std::pair{FaultKind::kStart, std::string_view("start")},
    std::pair{FaultKind::kPause, std::string_view("pause")},
    std::pair{FaultKind::kCut, std::string_view("cut")},
    std::pair{FaultKind::kJoin, std::string_view("join")},
    std::pair{FaultKind::kCutPlatform, std::string_view("cut_platform")},
    std::pair{FaultKind::kJoinPlatform, std::string_view("join_platform")},
    std::pair{FaultKind::kPlatformDown, std::string_view("platform_down")},
    std::pair{FaultKind::kPlatformFrozen, std::string_view("platform_frozen")},
    std::pair{FaultKind::kPlatformCurrent,
              std::string_view("platform_current")},
    std::pair{FaultKind::kPlatformRollBack,
              std::string_view("platform_roll_back")},
    std::pair{FaultKind::kPlatformSave, std::string_view("platform_save")},
};

// Mean time between two faults of a random schedule, and longest pause.
constexpr Duration kFaultInterval = std::chrono::milliseconds(1500);
constexpr std::uint64_t kMaxPauseMillis = 8000;

auto ParseFaultKind(std::string_view name) -> Result<FaultKind> {
  for (const auto& [kind, known] : kFaultNames) {
    if (known == name) {
      return kind;
    }
  }
  return Fail(ErrorCode::kInvalidArgument,
              "unknown step '" + std::string(name) + "'",
              "see docs/help/measure-fleet.md for the steps");
}

auto ParseFault(const YAML::Node& node) -> Result<Fault> {
  auto fault = Fault();
  BOOST_LEAF_ASSIGN(fault.at, ParseDuration(node["at"].as<std::string>()));
  BOOST_LEAF_ASSIGN(fault.kind, ParseFaultKind(node["do"].as<std::string>()));
  fault.target = node["target"].as<std::size_t>(0);
  fault.other = node["other"].as<std::size_t>(0);
  const auto duration = node["duration"].as<std::string>("0s");
  BOOST_LEAF_ASSIGN(fault.duration, ParseDuration(duration));
  return fault;
}

void ChangePlatform(FaultKind kind, FakePlatform& platform) {
  switch (kind) {
    case FaultKind::kPlatformDown:
      return platform.SetMode(PlatformMode::kDown);
    case FaultKind::kPlatformFrozen:
      return platform.SetMode(PlatformMode::kFrozen);
    case FaultKind::kPlatformCurrent:
      return platform.SetMode(PlatformMode::kCurrent);
    case FaultKind::kPlatformRollBack:
      return platform.RollBack();
    default:
      return platform.Save();
  }
}

void Apply(const Fault& fault, ConfigPublisher& publisher,
           FleetSimulation& fleet) {
  const auto instance = fault.target % fleet.size();
  switch (fault.kind) {
    case FaultKind::kPublish:
      return fleet.Publish(publisher.NextVersion(fleet.now()));
    case FaultKind::kKill:
      return fleet.Kill(instance);
    case FaultKind::kStart:
      return fleet.IsRunning(instance) ? void() : fleet.Start(instance);
    case FaultKind::kPause:
      return fleet.Pause(instance, fault.duration);
    case FaultKind::kCut:
      return fleet.Cut(fault.target, fault.other);
    case FaultKind::kJoin:
      return fleet.Join(fault.target, fault.other);
    case FaultKind::kCutPlatform:
      return fleet.CutPlatform(fault.target);
    case FaultKind::kJoinPlatform:
      return fleet.JoinPlatform(fault.target);
    default:
      return ChangePlatform(fault.kind, fleet.platform());
  }
}

}  // namespace

auto ParseFleetSchedule(const std::string& text) -> Result<std::vector<Fault>> {
  auto schedule = std::vector<Fault>();
  try {
    for (const auto& node : YAML::Load(text)) {
      BOOST_LEAF_AUTO(fault, ParseFault(node));
      schedule.push_back(fault);
    }
  } catch (const YAML::Exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed schedule: ") + error.what());
  }
  std::stable_sort(
      schedule.begin(), schedule.end(),
      [](const Fault& left, const Fault& right) { return left.at < right.at; });
  return schedule;
}

auto RandomFleetSchedule(const FleetSimulation& fleet, std::size_t data_centres,
                         Duration time, std::uint64_t seed)
    -> std::vector<Fault> {
  auto random = Random(seed);
  auto schedule = std::vector<Fault>();
  auto at = random.Exponential(kFaultInterval);
  while (at < time) {
    auto fault = Fault();
    fault.at = at;
    fault.kind = kFaultNames[random.Below(kFaultNames.size())].first;
    const auto is_about_data_centres = fault.kind == FaultKind::kCut ||
                                       fault.kind == FaultKind::kJoin ||
                                       fault.kind == FaultKind::kCutPlatform ||
                                       fault.kind == FaultKind::kJoinPlatform;
    fault.target =
        random.Below(is_about_data_centres ? data_centres : fleet.size());
    fault.other =
        (fault.target + 1 + random.Below(data_centres - 1)) % data_centres;
    fault.duration = std::chrono::milliseconds(random.Below(kMaxPauseMillis));
    schedule.push_back(fault);
    at += random.Exponential(kFaultInterval);
  }
  return schedule;
}

void RunFleetSchedule(const std::vector<Fault>& schedule,
                      ConfigPublisher& publisher, FleetSimulation& fleet) {
  const auto start = fleet.now();
  for (const auto& fault : schedule) {
    fleet.RunUntil(start + fault.at);
    Apply(fault, publisher, fleet);
  }
}

}  // namespace hemlockwick
