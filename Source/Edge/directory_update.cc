#include "Edge/directory_update.h"

#include <algorithm>
#include <iterator>
#include <unordered_map>

namespace hemlockwick {

void DirectoryUpdate::Append(const DirectoryUpdate& later) {
  auto merger = UpdateMerger();
  merger.AddOlder(later);
  merger.AddOlder(*this);
  auto merged = merger.Take();
  merged.is_whole = is_whole;
  merged.is_difference = merged.is_difference && !is_whole;
  *this = std::move(merged);
}

void UpdateMerger::AddOlder(const DirectoryUpdate& older) {
  const auto is_unseen = [this](EndpointId endpoint) {
    return !seen_.contains(endpoint);
  };
  std::ranges::copy_if(older.reports, std::back_inserter(merged_.reports),
                       is_unseen, &EndpointReport::id);
  std::ranges::copy_if(older.removed, std::back_inserter(merged_.removed),
                       is_unseen);
  std::ranges::copy_if(older.unreadable, std::back_inserter(merged_.unreadable),
                       is_unseen);
  ForEachEndpoint(older,
                  [this](EndpointId endpoint) { seen_.insert(endpoint); });
  if (merged_.routes == nullptr) {
    merged_.routes = older.routes;
  }
  merged_.position = std::max(merged_.position, older.position);
  merged_.is_difference = merged_.is_difference || older.is_difference;
  merged_.ignored += older.ignored;
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
  difference.is_difference = true;
  difference.position = after.position;
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
