#include "Edge/watcher_list.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace hemlockwick {

namespace {

// A watcher is removed when it has not called for this long; longer than a
// watch.
constexpr Duration kWatcherTimeout = std::chrono::seconds(3);

// Maximum number of relays in an advice.
constexpr std::size_t kMaxAdvisedRelays = 3;

}  // namespace

WatcherList::WatcherList(const Watcher& own, std::uint64_t seed)
    : own_(own), random_(seed) {}

auto WatcherList::Admit(const Watcher& watcher, TimePoint now) -> RelayAdvice {
  auto advice = RelayAdvice();
  if (watcher.relay.port == Port()) {
    // Always admitted: it is no relay to which others could be referred.
    return advice;
  }
  auto& entry = entries_.try_emplace(watcher.relay).first->second;
  if (entry.last_call == TimePoint()) {
    entry.joined = now;
  }
  entry.watcher = watcher;
  entry.last_call = now;

  auto ranked = Ranked(watcher.data_centre);
  const auto position = std::ranges::find(ranked, &entry);
  const auto rank = static_cast<std::size_t>(position - ranked.begin());
  if (is_redirecting_) {
    advice.is_full = true;
    ranked.erase(position, ranked.end());
    advice.relays = FirstOf(ranked);
    return advice;
  }
  if (rank < LimitOf(watcher.data_centre)) {
    advice.relays = FirstOf(ranked);
    return advice;
  }
  ranked.erase(position);
  advice.relays = Referrals(std::move(ranked));
  advice.is_full = !advice.relays.empty();
  if (advice.is_full) {
    entries_.erase(watcher.relay);
  }
  return advice;
}

auto WatcherList::FirstOf(const std::vector<const Entry*>& ranked)
    -> std::vector<SocketAddress> {
  auto relays = std::vector<SocketAddress>();
  for (const auto* const entry : ranked) {
    if (relays.size() < kMaxAdvisedRelays) {
      relays.push_back(entry->watcher.relay);
    }
  }
  return relays;
}

auto WatcherList::LimitOf(DataCentreId data_centre) const -> std::size_t {
  return data_centre == own_.data_centre ? own_.capacity : kMaxRemoteWatchers;
}

auto WatcherList::Ranked(DataCentreId data_centre) const
    -> std::vector<const Entry*> {
  auto ranked = std::vector<const Entry*>();
  for (const auto& [relay, entry] : entries_) {
    if (entry.watcher.data_centre == data_centre) {
      ranked.push_back(&entry);
    }
  }
  std::ranges::sort(ranked, [](const Entry* left, const Entry* right) {
    // Large instances first, because much traffic passes those directly below a
    // relay.
    return std::tuple(right->watcher.capacity, left->joined,
                      left->watcher.relay) < std::tuple(left->watcher.capacity,
                                                        right->joined,
                                                        right->watcher.relay);
  });
  return ranked;
}

auto WatcherList::Successors(DataCentreId data_centre) const
    -> std::vector<SocketAddress> {
  return FirstOf(Ranked(data_centre));
}

// A random choice among the largest watchers that have capacity, or among all
// when none has.
auto WatcherList::Referrals(std::vector<const Entry*> ranked)
    -> std::vector<SocketAddress> {
  const auto has_capacity = [](const Entry* entry) {
    return entry->watcher.has_capacity;
  };
  if (std::ranges::any_of(ranked, has_capacity)) {
    std::erase_if(ranked, std::not_fn(has_capacity));
    const auto largest = ranked.front()->watcher.capacity;
    std::erase_if(ranked, [largest](const Entry* entry) {
      return entry->watcher.capacity < largest;
    });
  }
  for (auto left = ranked.size(); left > 1; --left) {
    std::swap(ranked[left - 1], ranked[random_.Below(left)]);
  }
  return FirstOf(ranked);
}

auto WatcherList::HasCapacity() const -> bool {
  const auto near = std::ranges::count_if(entries_, [this](const auto& entry) {
    return entry.second.watcher.data_centre == own_.data_centre;
  });
  return !is_redirecting_ && static_cast<std::size_t>(near) < own_.capacity;
}

void WatcherList::OnTick(TimePoint now) {
  std::erase_if(entries_, [now](const auto& entry) {
    return now - entry.second.last_call >= kWatcherTimeout;
  });
}

}  // namespace hemlockwick
