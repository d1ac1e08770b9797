#include "Measure/config_slopes.h"

#include <string>
#include <utility>

#include "Measure/config_trial.h"

namespace hemlockwick {

namespace {

// Services for each endpoint at the size to design for.
constexpr double kServicesPerEndpoint = 14'000.0 / 61'000.0;

struct SlopeField {
  const char* name;
  const char* cost_unit;
  double ConfigTrialResult::*field;
};

constexpr SlopeField kFields[] = {
    {"config.check", "s", &ConfigTrialResult::check_seconds},
    {"config.encode", "s", &ConfigTrialResult::encode_seconds},
    {"config.assemble", "s", &ConfigTrialResult::assemble_seconds},
    {"config.update", "s", &ConfigTrialResult::update_seconds},
    {"config.published_bytes", "B", &ConfigTrialResult::published_bytes},
    {"config.change_bytes", "B", &ConfigTrialResult::change_bytes},
    {"config.memory", "B", &ConfigTrialResult::memory_bytes},
};

}  // namespace

auto ConfigSlopes(std::uint64_t seed) -> std::vector<Slope> {
  auto slopes = std::vector<Slope>();
  for (const auto& field : kFields) {
    slopes.push_back(Slope{field.name, "endpoint", field.cost_unit, {}});
  }
  for (const auto endpoints : {4'000U, 8'000U, 16'000U, 32'000U}) {
    const auto services =
        static_cast<std::uint32_t>(endpoints * kServicesPerEndpoint);
    const auto result = TryOr(
        [&] {
          return RunConfigTrial({services, endpoints}, seed);
        },
        [](const Error&) { return ConfigTrialResult(); });
    for (std::size_t at = 0; at < slopes.size(); ++at) {
      slopes[at].samples.push_back(SlopeSample{static_cast<double>(endpoints),
                                               result.*kFields[at].field});
    }
  }
  return slopes;
}

}  // namespace hemlockwick
