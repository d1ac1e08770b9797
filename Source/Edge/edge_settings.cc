#include "Edge/edge_settings.h"

#include <algorithm>
#include <string_view>

namespace hemlockwick {

namespace {

// The term by which a deployment enables learned capacity.
constexpr std::string_view kHealthTerm = "health";

constexpr double kWatchersPerCore = 500;
constexpr double kWatchersPerMbps = 4;
constexpr double kMinWatchers = 8;
// Control traffic may take 17 kB/s; a watcher takes 0.3 kB/s.
constexpr double kMaxWatchers = 48;

}  // namespace

auto SeedsOf(const ServeSettings& settings) -> std::vector<SocketAddress> {
  auto seeds = settings.seeds;
  std::erase(seeds, settings.relay);
  return seeds;
}

auto SyncSettingsOf(const ServeSettings& settings) -> SyncSettings {
  auto result = SyncSettings();
  result.seeds = SeedsOf(settings);
  result.is_seed = result.seeds.size() != settings.seeds.size();
  result.random_seed = IdFromName<InstanceId>(settings.name).value();
  result.data_centre = IdFromName<DataCentreId>(settings.data_centre);
  result.own_relay = settings.relay;
  result.shares_speeds = LearnsCapacity(settings);
  result.counts_instances =
      settings.cold_overage > 0 && settings.cold_slack > 0;
  result.instance = IdFromName<InstanceId>(settings.name);
  return result;
}

auto LearnsCapacity(const ServeSettings& settings) -> bool {
  return std::ranges::find(settings.terms, kHealthTerm) != settings.terms.end();
}

auto RelayCapacityOf(const ServeSettings& settings) -> std::uint32_t {
  auto watchers = kMaxWatchers;
  if (settings.processor_cores > 0) {
    watchers = std::min(watchers, settings.processor_cores * kWatchersPerCore);
  }
  if (settings.link_mbps > 0) {
    watchers = std::min(watchers, settings.link_mbps * kWatchersPerMbps);
  }
  if (LearnsCapacity(settings)) {
    // The speeds in answers take up to 1.3 kB/s for each watcher, see
    // SpeedsPerAnswer.
    watchers = kMinWatchers;
  }
  return static_cast<std::uint32_t>(std::max(watchers, kMinWatchers));
}

}  // namespace hemlockwick
