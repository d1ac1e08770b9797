#ifndef HEMLOCKWICK_RUNTIME_TRAFFIC_THREADS_H_
#define HEMLOCKWICK_RUNTIME_TRAFFIC_THREADS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "Core/error.h"
#include "Runtime/packet_forwarder.h"

namespace hemlockwick {

// Packet counts of all traffic threads since the start.
struct PacketTotals {
  std::uint64_t received = 0;
  std::uint64_t forwarded = 0;
  std::uint64_t relayed = 0;
  std::uint64_t send_failed = 0;
  std::map<std::string, std::uint64_t> dropped;  // By reason.
};

// The traffic threads of an instance, each with its own socket on the shared
// packet address.
class TrafficThreads {
 public:
  // Opens `count` sockets and starts their threads. Fails with kAddressInUse if
  // another process uses the address.
  [[nodiscard]] static auto Start(const SocketAddress& address,
                                  std::size_t count, FlowRouter& router,
                                  const SystemClock& clock)
      -> Result<std::unique_ptr<TrafficThreads>>;

  [[nodiscard]] auto totals() const -> PacketTotals;

 private:
  TrafficThreads() = default;

  std::vector<std::unique_ptr<PacketForwarder>> forwarders_;
  std::vector<std::jthread> threads_;  // Last: they use the forwarders.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_TRAFFIC_THREADS_H_
