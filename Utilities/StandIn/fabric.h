#ifndef HEMLOCKWICK_STANDIN_FABRIC_H_
#define HEMLOCKWICK_STANDIN_FABRIC_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "Core/net_address.h"
#include "Core/random.h"

namespace hemlockwick {

// An instance as the fabric knows it.
struct FabricTarget {
  SocketAddress http;
  SocketAddress packet;
};

// Stands in for the network fabric: hands anything to any instance that its
// health checks, which lag, found ready.
class Fabric {
 public:
  Fabric(const std::vector<FabricTarget>& targets, std::uint64_t random_seed);
  ~Fabric();
  Fabric(const Fabric&) = delete;
  auto operator=(const Fabric&) -> Fabric& = delete;

  // Returns a ready instance at random; empty when there is none.
  auto Pick() -> std::optional<FabricTarget>;

 private:
  struct Entry {
    FabricTarget target;
    bool ready = false;
  };

  void Check(std::size_t index, const std::stop_token& stop);

  std::mutex mutex_;
  std::vector<Entry> entries_;
  Random random_;
  std::vector<std::jthread> checkers_;  // Last: they use the members above.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_FABRIC_H_
