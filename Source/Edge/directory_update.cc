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
  const auto is_unseen = [this](const EntryRef& ref) {
    return !seen_.Contains(ref);
  };
  std::ranges::copy_if(older.reports, std::back_inserter(merged_.reports),
                       is_unseen, &EndpointReport::Ref);
  std::ranges::copy_if(older.removed, std::back_inserter(merged_.removed),
                       is_unseen);
  std::ranges::copy_if(older.unreadable, std::back_inserter(merged_.unreadable),
                       is_unseen);
  ForEachEntry(older, [this](const EntryRef& ref) { seen_.Add(ref); });
  if (merged_.routes == nullptr) {
    merged_.routes = older.routes;
  }
  for (const auto& evacuation : older.evacuations) {
    if (seen_data_centres_.insert(evacuation.data_centre).second) {
      merged_.evacuations.push_back(evacuation);
    }
  }
  merged_.has_all_evacuations =
      merged_.has_all_evacuations && older.has_all_evacuations;
  merged_.position = std::max(merged_.position, older.position);
  merged_.is_difference = merged_.is_difference || older.is_difference;
  merged_.ignored += older.ignored;
}

namespace {

// The evacuations that have started or ended between two whole updates.
auto ChangedEvacuations(const DirectoryUpdate& before,
                        const DirectoryUpdate& after)
    -> std::vector<Evacuation> {
  auto changed = std::vector<Evacuation>();
  auto present = std::unordered_set<std::string>();
  for (const auto& evacuation : after.evacuations) {
    present.insert(evacuation.data_centre);
    if (std::ranges::find(before.evacuations, evacuation) ==
        before.evacuations.end()) {
      changed.push_back(evacuation);
    }
  }
  for (const auto& evacuation : before.evacuations) {
    if (after.has_all_evacuations &&
        !present.contains(evacuation.data_centre)) {
      changed.push_back(
          {evacuation.data_centre, false, after.position.revision});
    }
  }
  return changed;
}

}  // namespace

auto DifferenceOf(const DirectoryUpdate& before, const DirectoryUpdate& after)
    -> DirectoryUpdate {
  auto known = std::unordered_multimap<EndpointId, const EndpointReport*>();
  for (const auto& report : before.reports) {
    known.emplace(report.id, &report);
  }
  const auto is_known = [&known](const EndpointReport& report) {
    const auto [begin, end] = known.equal_range(report.id);
    return std::any_of(begin, end, [&report](const auto& entry) {
      return *entry.second == report;
    });
  };
  auto present = EntrySet();
  ForEachEntry(after, [&present](const EntryRef& ref) { present.Add(ref); });

  auto difference = DirectoryUpdate();
  difference.is_difference = true;
  difference.position = after.position;
  for (const auto& report : after.reports) {
    if (!is_known(report)) {
      difference.reports.push_back(report);
    }
  }
  difference.unreadable = after.unreadable;
  ForEachEntry(before, [&](const EntryRef& ref) {
    if (!present.Contains(ref)) {
      difference.removed.push_back(ref);
    }
  });
  const auto has_routes = after.routes != nullptr &&
                          (before.routes == nullptr ||
                           before.routes->version < after.routes->version);
  difference.routes = has_routes ? after.routes : nullptr;
  difference.evacuations = ChangedEvacuations(before, after);
  difference.has_all_evacuations = after.has_all_evacuations;
  return difference;
}

}  // namespace hemlockwick
