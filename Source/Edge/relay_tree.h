#ifndef HEMLOCKWICK_EDGE_RELAY_TREE_H_
#define HEMLOCKWICK_EDGE_RELAY_TREE_H_

#include <cstdint>
#include <vector>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Edge/instance_counter.h"

namespace hemlockwick {

// An instance that watches a relay, as it describes itself in its calls.
struct Watcher {
  // Its own address as a relay; port 0: it is none.
  SocketAddress relay;
  DataCentreId data_centre;
  std::uint32_t capacity = 0;  // Maximum number of its watchers.
  bool has_capacity = false;   // Whether it admits further watchers.
  InstanceCount count{};  // Instance 0: an earlier version, which has none.
};

// What a relay sends to a watcher about its place in the tree of relays.
struct RelayAdvice {
  // The relay does not admit this watcher, which should watch one of `relays`
  // instead.
  bool is_full = false;
  // Relays in the watcher's data centre. When the relay is not full: those to
  // call, in order, when it fails.
  std::vector<SocketAddress> relays;
  // The relays that the directory has passed, from the platform down to this
  // one.
  std::vector<SocketAddress> path;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_TREE_H_
