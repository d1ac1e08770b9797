#include "Measure/edge_slopes.h"

#include <algorithm>
#include <array>
#include <memory>
#include <tuple>
#include <utility>

#include "Core/random.h"
#include "Edge/directory_history.h"
#include "Edge/relay_codec.h"
#include "Flow/token_router.h"
#include "Measure/heap_usage.h"
#include "Measure/stopwatch.h"

namespace hemlockwick {

namespace {

constexpr TimePoint kNow{std::chrono::hours(500'000)};
constexpr double kServicesPerEndpoint = 14'000.0 / 61'000.0;
constexpr std::size_t kChanges = 9;

struct EdgeCosts {
  double directory_bytes = 0;
  double relay_bytes = 0;
  double change_seconds = 0;
  double change_bytes = 0;
  double whole_bytes = 0;
  double catch_up_seconds = 0;
};

struct SlopeField {
  const char* name;
  const char* cost_unit;
  double EdgeCosts::*field;
};

constexpr SlopeField kFields[] = {
    {"edge.directory_memory", "B", &EdgeCosts::directory_bytes},
    {"edge.relay_memory", "B", &EdgeCosts::relay_bytes},
    {"edge.take_change", "s", &EdgeCosts::change_seconds},
    {"edge.change_bytes", "B", &EdgeCosts::change_bytes},
    {"edge.whole_bytes", "B", &EdgeCosts::whole_bytes},
    {"edge.catch_up", "s", &EdgeCosts::catch_up_seconds},
};

auto MakeReport(std::uint64_t id, std::uint64_t services) -> EndpointReport {
  auto report = EndpointReport();
  report.id = EndpointId(id);
  report.service = ServiceId(1 + id % services);
  report.address = {Ipv4Address(static_cast<std::uint32_t>(id)), Port(80)};
  report.data_centre = DataCentreId(1 + id % 3);
  report.slots = 2;
  return report;
}

auto MakeWhole(std::uint64_t endpoints, std::uint64_t seed) -> DirectoryUpdate {
  const auto services = static_cast<std::uint64_t>(
      static_cast<double>(endpoints) * kServicesPerEndpoint);
  auto random = Random(seed);
  auto whole = DirectoryUpdate();
  whole.is_whole = true;
  whole.position.revision = Revision(1);
  for (std::uint64_t i = 0; i < endpoints; ++i) {
    whole.reports.push_back(MakeReport(random.engine()(), services));
  }
  auto routes = std::make_shared<RouteSet>();
  routes->version = Version(1);
  for (std::uint64_t service = 1; service <= services; ++service) {
    const auto ip = Ipv4Address(static_cast<std::uint32_t>(service));
    routes->routes.push_back({{ip, Port(443)}, {{ServiceId(service), 1}}});
  }
  whole.routes = std::move(routes);
  return whole;
}

// The middle of the times that an instance takes for one change each.
auto TimeOfChange(EndpointDirectory& directory, TokenRouter& router,
                  const DirectoryUpdate& whole) -> double {
  auto times = std::array<double, kChanges>();
  for (std::size_t i = 0; i < kChanges; ++i) {
    auto report = whole.reports[i];
    report.draining = true;
    const auto watch = Stopwatch();
    directory.Report(report);
    router.Update(directory.TakeSnapshot(kNow), kNow);
    times[i] = watch.Seconds();
  }
  std::ranges::nth_element(times, times.begin() + kChanges / 2);
  return times[kChanges / 2];
}

// The time that a relay takes for a change that names all endpoints, and for
// passing it on.
auto TimeToCatchUp(DirectoryHistory& history, DirectoryUpdate change)
    -> double {
  change.is_whole = false;
  change.position.revision = Revision(history.position().revision.value() + 1);
  const auto before = history.position();
  const auto watch = Stopwatch();
  history.Add(change, kNow);
  std::ignore = history.Since(before);
  return watch.Seconds();
}

auto MeasureDirectory(std::uint64_t endpoints, std::uint64_t seed)
    -> EdgeCosts {
  const auto whole = MakeWhole(endpoints, seed);
  auto costs = EdgeCosts();
  const auto before = HeapBytes();
  auto directory = EndpointDirectory();
  for (const auto& report : whole.reports) {
    directory.Report(report);
  }
  directory.Publish(whole.routes, kNow);
  auto router = TokenRouter({DataCentreId(1), 1, InstanceId(1)});
  router.Update(directory.TakeSnapshot(kNow), kNow);
  // The list of first events is logged as one line and dropped.
  std::ignore = directory.TakeEvents();
  const auto with_directory = HeapBytes();
  costs.directory_bytes = with_directory - before;
  auto history = DirectoryHistory();
  history.Add(whole, kNow);
  costs.relay_bytes = HeapBytes() - with_directory;

  costs.change_seconds = TimeOfChange(directory, router, whole);
  auto change = DirectoryUpdate();
  change.reports = {whole.reports.front()};
  const auto bytes_of = [](const DirectoryUpdate& update) {
    return static_cast<double>(
        EncodeUpdate(update, RelayState(), nullptr, kNow).size());
  };
  costs.change_bytes = bytes_of(change);
  costs.whole_bytes = bytes_of(whole);
  costs.catch_up_seconds = TimeToCatchUp(history, whole);
  return costs;
}

auto TrackedFlowSlope() -> Slope {
  auto slope = Slope{"edge.tracked_memory", "tracked flow", "B", {}};
  for (const auto flows : {8'192U, 16'384U, 65'536U}) {
    const auto before = HeapBytes();
    const auto router = TokenRouter({DataCentreId(1), flows, InstanceId(1)});
    slope.samples.push_back({static_cast<double>(flows), HeapBytes() - before});
  }
  return slope;
}

}  // namespace

auto EdgeSlopes(std::uint64_t seed) -> std::vector<Slope> {
  auto slopes = std::vector<Slope>();
  for (const auto& field : kFields) {
    slopes.push_back(Slope{field.name, "endpoint", field.cost_unit, {}});
  }
  for (const auto endpoints : {4'000U, 16'000U, 61'000U}) {
    const auto costs = MeasureDirectory(endpoints, seed);
    for (std::size_t i = 0; i < slopes.size(); ++i) {
      slopes[i].samples.push_back(
          {static_cast<double>(endpoints), costs.*kFields[i].field});
    }
  }
  slopes.push_back(TrackedFlowSlope());
  return slopes;
}

}  // namespace hemlockwick
