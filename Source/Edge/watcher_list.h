#ifndef HEMLOCKWICK_EDGE_WATCHER_LIST_H_
#define HEMLOCKWICK_EDGE_WATCHER_LIST_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Edge/relay_tree.h"

namespace hemlockwick {

// Watchers that a relay takes from each other data centre. They pass the
// directory on there.
inline constexpr std::size_t kMaxRemoteWatchers = 2;

// The instances that watch one relay. Decides whom it serves and where it sends
// the others, so that instances and relays form a tree: a bounded number below
// each relay, few calls between data centres, and large instances near the top.
class WatcherList {
 public:
  // `own` describes the relay; `seed` spreads those that it sends elsewhere.
  WatcherList(const Watcher& own, std::uint64_t seed);

  // Takes a call of a watcher. Returns what to tell it, without the path.
  auto Admit(const Watcher& watcher, TimePoint now) -> RelayAdvice;

  // Watchers in the data centre that take the relay's place when it fails, the
  // first one first; a few at most.
  [[nodiscard]] auto Successors(DataCentreId data_centre) const
      -> std::vector<SocketAddress>;

  // Whether a further watcher of the own data centre is served.
  [[nodiscard]] auto HasCapacity() const -> bool;

  // Sends every watcher to those that take this relay's place, and the first of
  // them away.
  void RedirectAll() { is_redirecting_ = true; }

  // Forgets those that have not called for some time.
  void OnTick(TimePoint now);

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct Entry {
    Watcher watcher;
    TimePoint joined;
    TimePoint last_call;
  };

  [[nodiscard]] auto LimitOf(DataCentreId data_centre) const -> std::size_t;
  // The watchers of a data centre, those that are served first.
  [[nodiscard]] auto Ranked(DataCentreId data_centre) const
      -> std::vector<const Entry*>;
  static auto FirstOf(const std::vector<const Entry*>& ranked)
      -> std::vector<SocketAddress>;
  auto Referrals(std::vector<const Entry*> ranked)
      -> std::vector<SocketAddress>;

  const Watcher own_;
  Random random_;
  bool is_redirecting_ = false;
  std::unordered_map<SocketAddress, Entry> entries_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_WATCHER_LIST_H_
