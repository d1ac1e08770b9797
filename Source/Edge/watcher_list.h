#ifndef HEMLOCKWICK_EDGE_WATCHER_LIST_H_
#define HEMLOCKWICK_EDGE_WATCHER_LIST_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "Core/random.h"
#include "Core/time.h"
#include "Edge/relay_tree.h"

namespace hemlockwick {

// Maximum number of watchers that a relay admits from each other data centre.
// These pass the directory on there.
inline constexpr std::size_t kMaxRemoteWatchers = 2;

// The instances that watch one relay. Decides which of them the relay serves,
// and refers the others to those, so that all instances form a tree: a bounded
// number below each relay, few calls between data centres, and large instances
// near the root.
class WatcherList {
 public:
  // `own` describes the relay; `seed` is the random seed of referrals.
  WatcherList(const Watcher& own, std::uint64_t seed);

  // Handles a call of a watcher and decides whether to admit it. Returns the
  // advice for it, without the path.
  auto Admit(const Watcher& watcher, TimePoint now) -> RelayAdvice;

  // The watchers in a data centre that replace the relay when it fails, in
  // order; a few at most.
  [[nodiscard]] auto Successors(DataCentreId data_centre) const
      -> std::vector<SocketAddress>;

  // Whether a further watcher of the relay's data centre would be admitted.
  [[nodiscard]] auto HasCapacity() const -> bool;

  // Admits no watcher any more. Each is referred to those that precede it in
  // the order of successors, and the first one to none.
  void RedirectAll() { is_redirecting_ = true; }

  // Removes watchers that have not called for some time.
  void OnTick(TimePoint now);

  [[nodiscard]] auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct Entry {
    Watcher watcher;
    TimePoint joined;
    TimePoint last_call;
  };

  [[nodiscard]] auto LimitOf(DataCentreId data_centre) const -> std::size_t;
  // The watchers of a data centre, in the order in which they are admitted.
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
