#ifndef HEMLOCKWICK_MEASURE_FLEET_TARGET_H_
#define HEMLOCKWICK_MEASURE_FLEET_TARGET_H_

namespace hemlockwick {

// The size that the design has to carry, as the users state it.
struct FleetTarget {
  double instances = 11'000;
  double endpoints = 61'000;
  double services = 14'000;
  double open_flows = 410e6;
  double new_flows_per_second = 1.2e6;
  double regions = 6;
  double data_centres = 22;
  double changes_per_day = 51'000;
  double deaths_per_day = 380;
  double replacements_per_day = 5'000;
  double platform_reads_per_second = 2'000;

  [[nodiscard]] constexpr auto instances_per_data_centre() const -> double {
    return instances / data_centres;
  }
  [[nodiscard]] constexpr auto flows_per_instance() const -> double {
    return open_flows / instances;
  }
  [[nodiscard]] constexpr auto new_flows_per_instance() const -> double {
    return new_flows_per_second / instances;
  }
  [[nodiscard]] constexpr auto changes_per_second() const -> double {
    return changes_per_day / kSecondsPerDay;
  }

  static constexpr double kSecondsPerDay = 86'400;
};

// What control may cost on one instance.
struct ControlBudget {
  double core_share = 0.044;
  double memory_bytes = 128e6;
  double bytes_per_second = 17e3;
  double in_force_seconds = 4;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_MEASURE_FLEET_TARGET_H_
