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
  const auto before = all_.position;
  if (!update.is_whole && update.position <= before) {
    UseNewerRoutes(update.routes);
    return;
  }
  if (update.position.era != before.era) {
    former_era_end_ = before;
  }
  if (update.is_whole) {
    ReplaceAll(update, now);
    return;
  }
  const auto routes = all_.routes;
  all_.Append(update);
  UseNewerRoutes(routes);
  // A whole update lists only what is present, so it has no removals.
  all_.removed.clear();
  std::erase_if(all_.evacuations, [](const auto& evacuation) {
    return !evacuation.is_evacuated;
  });
  AddChange(update, before, now);
}

// Replaces the routes unless these are older: a store that was restored may
// hold older ones, and its operator may repeat them one after the other.
void DirectoryHistory::UseNewerRoutes(
    const std::shared_ptr<const RouteSet>& routes) {
  if (routes != nullptr &&
      (all_.routes == nullptr || all_.routes->version < routes->version)) {
    all_.routes = routes;
  }
}

void DirectoryHistory::KeepEvacuations(const std::vector<Evacuation>& known) {
  auto kept = DirectoryUpdate();
  kept.evacuations = known;
  auto merger = UpdateMerger();
  merger.AddOlder(all_);
  merger.AddOlder(kept);
  all_.evacuations = merger.Take().evacuations;
}

// Stores a whole update as its difference from the previous directory.
// Otherwise one full read by this instance would force a full read by every
// instance that watches it.
void DirectoryHistory::ReplaceAll(const DirectoryUpdate& whole, TimePoint now) {
  // After a lower position no change could be told from an earlier one.
  const auto from = all_.position;
  const auto continues = all_.is_whole && whole.position >= all_.position;
  auto difference = DifferenceOf(all_, whole);
  const auto routes = all_.routes;
  const auto known = std::exchange(all_, whole).evacuations;
  UseNewerRoutes(routes);
  if (!whole.has_all_evacuations) {
    // Those that it does not list stay in force.
    KeepEvacuations(known);
  }
  if (continues) {
    AddChange(std::move(difference), from, now);
  } else {
    complete_after_ = whole.position;
    changes_.clear();
  }
}

void DirectoryHistory::AddChange(DirectoryUpdate change, Position from,
                                 TimePoint now) {
  changes_.push_back({now, from, std::move(change)});
  while (changes_.size() > kMaxChanges ||
         now - changes_.front().at > kRetention) {
    complete_after_ = changes_.front().update.position;
    changes_.pop_front();
  }
}

// Whether this directory passed from the position's era to the present one at
// that position or later. If not, whoever holds the position has seen changes
// that this directory never had.
auto DirectoryHistory::HasLeftEraAfter(Position position) const -> bool {
  return position.era == former_era_end_.era && position <= former_era_end_;
}

auto DirectoryHistory::Since(Position after) const
    -> std::optional<DirectoryUpdate> {
  if (after.era == Era()) {
    if (after.revision <= former_era_end_.revision) {
      // The revision may be one of the former era.
      return std::nullopt;
    }
    after.era = all_.position.era;
  }
  const auto is_former = after.era < all_.position.era;
  if (after < complete_after_ || (is_former && !HasLeftEraAfter(after))) {
    return std::nullopt;
  }
  auto merger = UpdateMerger();
  for (auto change = changes_.rbegin();
       change != changes_.rend() && change->update.position > after; ++change) {
    if (change->update.is_difference && change->from < after) {
      return std::nullopt;
    }
    merger.AddOlder(change->update);
  }
  auto result = merger.Take();
  result.has_all_evacuations = all_.has_all_evacuations;
  result.position = all_.position;
  if (after.era == all_.position.era) {
    result.position = std::max(after, all_.position);
  }
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
