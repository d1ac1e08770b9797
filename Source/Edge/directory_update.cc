#include "Edge/directory_update.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace hemlockwick {

void DirectoryUpdate::Append(const DirectoryUpdate& later) {
  auto joiner = UpdateJoiner();
  joiner.AddOlder(later);
  joiner.AddOlder(*this);
  auto joined = joiner.Take();
  joined.is_whole = is_whole;
  *this = std::move(joined);
}

void UpdateJoiner::AddOlder(const DirectoryUpdate& older) {
  const auto is_unnamed = [this](EndpointId endpoint) {
    return !named_.contains(endpoint);
  };
  std::ranges::copy_if(older.reports, std::back_inserter(joined_.reports),
                       is_unnamed, &EndpointReport::id);
  std::ranges::copy_if(older.removed, std::back_inserter(joined_.removed),
                       is_unnamed);
  std::ranges::copy_if(older.unreadable, std::back_inserter(joined_.unreadable),
                       is_unnamed);
  ForEachEndpoint(older,
                  [this](EndpointId endpoint) { named_.insert(endpoint); });
  if (joined_.routes == nullptr) {
    joined_.routes = older.routes;
  }
  joined_.revision = std::max(joined_.revision, older.revision);
  joined_.ignored += older.ignored;
}

auto DifferenceOf(const DirectoryUpdate& before, const DirectoryUpdate& after)
    -> DirectoryUpdate {
  auto known = std::unordered_map<EndpointId, const EndpointReport*>();
  for (const auto& report : before.reports) {
    known.emplace(report.id, &report);
  }
  auto present = std::unordered_set<EndpointId>();
  ForEachEndpoint(
      after, [&present](EndpointId endpoint) { present.insert(endpoint); });

  auto difference = DirectoryUpdate();
  difference.revision = after.revision;
  for (const auto& report : after.reports) {
    const auto found = known.find(report.id);
    if (found == known.end() || *found->second != report) {
      difference.reports.push_back(report);
    }
  }
  difference.unreadable = after.unreadable;
  ForEachEndpoint(before, [&](EndpointId endpoint) {
    if (!present.contains(endpoint)) {
      difference.removed.push_back(endpoint);
    }
  });
  const auto has_routes = after.routes != nullptr &&
                          (before.routes == nullptr ||
                           before.routes->version < after.routes->version);
  difference.routes = has_routes ? after.routes : nullptr;
  return difference;
}

}  // namespace hemlockwick
