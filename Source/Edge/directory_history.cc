#include "Edge/directory_history.h"

#include <algorithm>
#include <utility>

namespace hemlockwick {

namespace {

// Limits on the changes and routes that are retained for instances that lag
// behind.
constexpr Duration kRetention = std::chrono::seconds(20);
constexpr std::size_t kMaxChanges = 256;
constexpr std::size_t kMaxRoutes = 8;

}  // namespace

void DirectoryHistory::Add(const DirectoryUpdate& update, TimePoint now) {
  if (update.routes != nullptr) {
    AddRoutes(update.routes);
  }
  if (update.is_whole) {
    ReplaceAll(update, now);
    return;
  }
  if (update.revision <= all_.revision) {
    return;
  }
  all_.Append(update);
  // A whole update lists only what is present, so it has no removals.
  all_.removed.clear();
  AddChange(update, now);
}

// Stores a whole update as its difference from the previous directory.
// Otherwise one full read by this instance would force a full read by every
// instance that watches it.
void DirectoryHistory::ReplaceAll(const DirectoryUpdate& whole, TimePoint now) {
  const auto is_first = !all_.is_whole;
  auto difference = DifferenceOf(all_, whole);
  auto routes = whole.routes != nullptr ? whole.routes : all_.routes;
  all_ = whole;
  all_.routes = std::move(routes);
  if (is_first) {
    complete_after_ = whole.revision;
  } else {
    AddChange(std::move(difference), now);
  }
}

void DirectoryHistory::AddChange(DirectoryUpdate change, TimePoint now) {
  changes_.push_back({now, std::move(change)});
  while (changes_.size() > kMaxChanges ||
         now - changes_.front().at > kRetention) {
    complete_after_ = changes_.front().update.revision;
    changes_.pop_front();
  }
}

auto DirectoryHistory::Since(Revision after) const
    -> std::optional<DirectoryUpdate> {
  if (after < complete_after_) {
    return std::nullopt;
  }
  auto merger = UpdateMerger();
  for (auto change = changes_.rbegin();
       change != changes_.rend() && change->update.revision > after; ++change) {
    merger.AddOlder(change->update);
  }
  auto result = merger.Take();
  result.revision = std::max(after, all_.revision);
  return result;
}

auto DirectoryHistory::RoutesOf(Version version) const
    -> std::shared_ptr<const RouteSet> {
  const auto found = std::ranges::find_if(
      routes_,
      [version](const auto& routes) { return routes->version == version; });
  return found == routes_.end() ? nullptr : *found;
}

void DirectoryHistory::AddRoutes(std::shared_ptr<const RouteSet> routes) {
  routes_.push_back(std::move(routes));
  if (routes_.size() > kMaxRoutes) {
    routes_.pop_front();
  }
}

}  // namespace hemlockwick
