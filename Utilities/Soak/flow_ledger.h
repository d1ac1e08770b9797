#ifndef HEMLOCKWICK_SOAK_FLOW_LEDGER_H_
#define HEMLOCKWICK_SOAK_FLOW_LEDGER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "Soak/world.h"

namespace hemlockwick::soak {

// A flow by the addresses of its caller and its service.
using FlowId = std::pair<SocketAddress, SocketAddress>;

// Knows at which endpoint each flow is open, and checks where its packets
// arrive.
class FlowLedger {
 public:
  // Whether promises on a flow hold for an instance that takes its packets and
  // for its endpoint: both live and are calm.
  using Soundness =
      std::function<bool(Ipv4Address instance, std::uint64_t endpoint)>;

  FlowLedger(World& world, Soundness is_sound)
      : world_(world), is_sound_(std::move(is_sound)) {}

  // A packet of a flow that is open at the endpoint has reached it.
  void Arrived(const FlowId& id, std::uint64_t endpoint);

  // A packet of a flow that is not open at the endpoint has reached it.
  void Strayed(const FlowId& id, std::uint64_t endpoint, Ipv4Address instance);

  // The flow has ended at the endpoint.
  void Ended(const FlowId& id, std::uint64_t endpoint);

  // Whether a reset by the endpoint breaks a promise: the flow is open at
  // another one.
  [[nodiscard]] auto IsWrongReset(const FlowId& id,
                                  std::uint64_t endpoint) const -> bool;

 private:
  struct Flow {
    std::uint64_t endpoint = 0;  // Where it is open.
    int strays = 0;              // Since the last packet that reached it.
    std::uint64_t row = 0;       // Counts such rows of packets.
    Ipv4Address instance;        // That forwarded the last stray packet.
  };

  void CheckRow(const FlowId& id, std::uint64_t row);

  World& world_;
  const Soundness is_sound_;
  std::map<FlowId, Flow> flows_;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_FLOW_LEDGER_H_
