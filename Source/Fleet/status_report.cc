#include "Fleet/status_report.h"

#include <nlohmann/json.hpp>

namespace hemlockwick {

namespace {

using nlohmann::json;

auto ToMemberCounts(const json& value) -> MemberCounts {
  auto counts = MemberCounts();
  counts.alive = value.at("alive").get<std::uint32_t>();
  counts.suspect = value.at("suspect").get<std::uint32_t>();
  counts.leaving = value.at("leaving").get<std::uint32_t>();
  counts.dead = value.at("dead").get<std::uint32_t>();
  return counts;
}

// Instances of earlier releases do not report the field.
auto ToEvacuatedDataCentres(const json& value)
    -> std::vector<EvacuatedDataCentre> {
  auto data_centres = std::vector<EvacuatedDataCentre>();
  for (const auto& entry :
       value.value("evacuated_data_centres", json::array())) {
    data_centres.push_back(
        {entry.at("name").get<std::string>(),
         Version(entry.at("since_version").get<std::uint64_t>())});
  }
  return data_centres;
}

auto ToStatusReport(const json& value) -> StatusReport {
  auto report = StatusReport();
  report.instance = value.at("instance").get<std::string>();
  report.data_centre = value.at("data_centre").get<std::string>();
  report.leaving = value.at("leaving").get<bool>();
  report.version = Version(value.at("version").get<std::uint64_t>());
  report.digest = Digest(value.at("digest").get<std::uint64_t>());
  report.in_force_since =
      FromUnixMillis(value.at("in_force_since_ms").get<std::int64_t>());
  report.last_refusal = value.at("last_refusal").get<std::string>();
  report.members = ToMemberCounts(value.at("members"));
  report.unreachable_data_centres =
      value.at("unreachable_data_centres").get<std::uint32_t>();
  report.evacuated_data_centres = ToEvacuatedDataCentres(value);
  report.flows = value.at("flows").get<std::uint64_t>();
  report.requests = value.at("requests").get<std::uint64_t>();
  report.control_bytes = value.at("control_bytes").get<std::uint64_t>();
  return report;
}

}  // namespace

auto CountMembers(const MemberView& view) -> MemberCounts {
  auto counts = MemberCounts();
  for (const auto& member : view.members) {
    switch (member.state) {
      case MemberState::kAlive:
        ++counts.alive;
        break;
      case MemberState::kSuspect:
        ++counts.suspect;
        break;
      case MemberState::kLeaving:
        ++counts.leaving;
        break;
      case MemberState::kDead:
        ++counts.dead;
        break;
    }
  }
  return counts;
}

auto EvacuatedDataCentresOf(const FleetConfig& config)
    -> std::vector<EvacuatedDataCentre> {
  auto evacuated = std::vector<EvacuatedDataCentre>();
  for (const auto& data_centre : config.data_centres) {
    if (IsEvacuated(data_centre)) {
      evacuated.push_back({data_centre.name, data_centre.evacuated_since});
    }
  }
  return evacuated;
}

auto EncodeStatus(const StatusReport& report) -> std::string {
  const auto members = json{{"alive", report.members.alive},
                            {"suspect", report.members.suspect},
                            {"leaving", report.members.leaving},
                            {"dead", report.members.dead}};
  auto evacuated = json::array();
  for (const auto& data_centre : report.evacuated_data_centres) {
    evacuated.push_back({{"name", data_centre.name},
                         {"since_version", data_centre.since.value()}});
  }
  const auto value =
      json{{"instance", report.instance},
           {"data_centre", report.data_centre},
           {"leaving", report.leaving},
           {"version", report.version.value()},
           {"digest", report.digest.value()},
           {"in_force_since_ms", ToUnixMillis(report.in_force_since)},
           {"last_refusal", report.last_refusal},
           {"members", members},
           {"unreachable_data_centres", report.unreachable_data_centres},
           {"evacuated_data_centres", evacuated},
           {"flows", report.flows},
           {"requests", report.requests},
           {"control_bytes", report.control_bytes}};
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto DecodeStatus(std::string_view text) -> Result<StatusReport> {
  try {
    return ToStatusReport(json::parse(text));
  } catch (const json::exception& error) {
    return Fail(ErrorCode::kInvalidArgument,
                std::string("malformed status: ") + error.what(),
                "ask an instance of the same release");
  }
}

}  // namespace hemlockwick
