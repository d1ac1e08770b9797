#ifndef HEMLOCKWICK_FLEET_STATUS_REPORT_H_
#define HEMLOCKWICK_FLEET_STATUS_REPORT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/error.h"
#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/member_view.h"

namespace hemlockwick {

// Number of members of an instance's view in each state.
struct MemberCounts {
  std::uint32_t alive = 0;
  std::uint32_t suspect = 0;
  std::uint32_t leaving = 0;
  std::uint32_t dead = 0;
};

// A data centre whose endpoints get no new work, and the version that began it.
struct EvacuatedDataCentre {
  std::string name;
  Version since;
};

// The content of an instance's answer to GET /status.
struct StatusReport {
  std::string instance;
  std::string data_centre;
  bool leaving = false;
  Version version;  // Zero while no configuration is in force.
  Digest digest;
  TimePoint in_force_since;
  // The last version refused since then, with the findings; empty when none.
  std::string last_refusal;
  MemberCounts members;
  // Number of data centres in which no member answers.
  std::uint32_t unreachable_data_centres = 0;
  // By the version in force.
  std::vector<EvacuatedDataCentre> evacuated_data_centres;
  std::uint64_t flows = 0;          // Flow records held.
  std::uint64_t requests = 0;       // Requests accepted since the start.
  std::uint64_t control_bytes = 0;  // Control traffic sent since the start.
};

[[nodiscard]] auto CountMembers(const MemberView& view) -> MemberCounts;

[[nodiscard]] auto EvacuatedDataCentresOf(const FleetConfig& config)
    -> std::vector<EvacuatedDataCentre>;

// Converts a report to JSON and back. Decoding fails with kInvalidArgument.
[[nodiscard]] auto EncodeStatus(const StatusReport& report) -> std::string;
[[nodiscard]] auto DecodeStatus(std::string_view text) -> Result<StatusReport>;

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_STATUS_REPORT_H_
