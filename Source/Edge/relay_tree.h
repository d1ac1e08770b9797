#ifndef HEMLOCKWICK_EDGE_RELAY_TREE_H_
#define HEMLOCKWICK_EDGE_RELAY_TREE_H_

#include <cstdint>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"

namespace hemlockwick {

// An instance that watches a relay, as it describes itself in its calls.
struct Watcher {
  // Where it relays the directory itself; port 0: nowhere.
  SocketAddress relay;
  DataCentreId data_centre;
  std::uint32_t capacity = 0;  // Watchers that it serves at most.
  bool has_capacity = false;   // Whether it takes further watchers now.
};

// What a relay tells a watcher about its place in the tree of relays.
struct RelayAdvice {
  // The relay does not hold this watcher's calls: it shall watch one of
  // `relays` instead.
  bool is_full = false;
  // Relays of the watcher's data centre. When the relay is not full, those that
  // take its place when it fails, in order.
  std::vector<SocketAddress> relays;
  // The relays that the news pass, from the platform down to this one.
  std::vector<SocketAddress> path;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_TREE_H_
