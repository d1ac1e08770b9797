#include "Config/config_check.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Config/change_checker.h"
#include "Config/config_consistency.h"
#include "Config/object_checker.h"
#include "Config/published_value.h"
#include "Config/service_builder.h"

namespace hemlockwick {

namespace {

void Append(Findings added, Findings& findings) {
  findings.insert(findings.end(), std::make_move_iterator(added.begin()),
                  std::make_move_iterator(added.end()));
}

void SortByPlace(Findings& findings) {
  std::stable_sort(findings.begin(), findings.end(),
                   [](const Finding& left, const Finding& right) {
                     return left.location < right.location;
                   });
}

// The version since which the data centre is evacuated, if it is evacuated in
// `version`.
auto EvacuatedSince(const DataCentreObject& object, const FleetConfig* previous,
                    Version version) -> Version {
  if (!object.evacuated) {
    return Version();
  }
  if (previous != nullptr) {
    for (const auto& earlier : previous->data_centres) {
      if (earlier.name == object.name && IsEvacuated(earlier)) {
        return earlier.evacuated_since;
      }
    }
  }
  return version;
}

auto BuildDataCentres(const std::vector<DataCentreObject>& objects,
                      const FleetConfig* previous, Version version)
    -> std::vector<DataCentre> {
  auto data_centres = std::vector<DataCentre>();
  for (const auto& object : objects) {
    data_centres.push_back(
        DataCentre{IdFromName<DataCentreId>(object.name), object.name,
                   IdFromName<RegionId>(object.region),
                   EvacuatedSince(object, previous, version)});
  }
  std::sort(data_centres.begin(), data_centres.end(),
            [](const DataCentre& left, const DataCentre& right) {
              return left.name < right.name;
            });
  return data_centres;
}

auto BuildConfig(const ObjectSet& objects,
                 const std::vector<PlacedService>& placed,
                 const FleetConfig* previous, Version version,
                 TimePoint published) -> std::shared_ptr<const FleetConfig> {
  auto data_centres = BuildDataCentres(objects.data_centres, previous, version);
  auto evacuated = DataCentreIdSet();
  for (const auto& data_centre : data_centres) {
    if (IsEvacuated(data_centre)) {
      evacuated.insert(data_centre.id);
    }
  }
  auto services = std::vector<std::shared_ptr<const Service>>();
  services.reserve(placed.size());
  for (const auto& service : placed) {
    const auto id = IdFromName<ServiceId>(service.service->name);
    const auto* const earlier =
        previous == nullptr ? nullptr : FindService(*previous, id);
    services.push_back(std::make_shared<Service>(
        BuildService(service, evacuated, earlier, version, published)));
  }
  return BuildFleetConfig(version, Digest(), published, std::move(data_centres),
                          std::move(services));
}

void CheckOrder(const FleetConfig& previous, const std::string& file,
                Version version, TimePoint published, Findings& findings) {
  const auto report = [&](std::string problem, std::string remedy) {
    findings.push_back(Finding{Severity::kError, SourceLocation{file, 0, 0},
                               "version " + std::to_string(version.value()),
                               std::move(problem), std::move(remedy)});
  };
  if (version <= previous.version) {
    report("is not greater than the previous version " +
               std::to_string(previous.version.value()),
           "leave out --set-version or raise it");
  }
  if (published < previous.published) {
    report("is published before the previous version",
           "correct the clock or --published");
  }
}

}  // namespace

auto CheckObjects(const ObjectReader& reader, const PreviousConfig& previous,
                  Version version, TimePoint published) -> CheckOutcome {
  auto outcome = CheckOutcome();
  outcome.findings = reader.findings();
  auto checker = ObjectChecker(reader.objects());
  checker.Check();
  Append(checker.findings(), outcome.findings);
  outcome.config = BuildConfig(reader.objects(), checker.placed(),
                               previous.config.get(), version, published);
  if (!HasErrors(outcome.findings)) {
    Append(CheckConsistency(*outcome.config), outcome.findings);
  }
  if (previous.config != nullptr) {
    CheckOrder(*previous.config, previous.file, version, published,
               outcome.findings);
  }
  // Objects that could not be read would be reported as removed, so changes are
  // checked only if every document was read.
  if (reader.is_complete() && previous.config != nullptr) {
    auto changes = ChangeChecker(*previous.config, previous.file);
    Append(changes.Check(checker.placed(), *outcome.config, published),
           outcome.findings);
  }
  if (HasErrors(outcome.findings)) {
    outcome.config = nullptr;
  }
  SortByPlace(outcome.findings);
  return outcome;
}

}  // namespace hemlockwick
