#ifndef HEMLOCKWICK_FLEET_OUTBOX_H_
#define HEMLOCKWICK_FLEET_OUTBOX_H_

#include <cstdint>
#include <utility>

#include "Core/ids.h"
#include "Core/time.h"
#include "Fleet/byte_budget.h"
#include "Fleet/fleet_node.h"
#include "Fleet/member_table.h"

namespace hemlockwick {

// Bytes that JSON-RPC and HTTP add to a message: request line, headers and
// envelope in both directions. The message itself is sent as an escaped string.
inline constexpr std::uint64_t kEnvelopeBytes = 450;

// Bytes of a platform call in addition to the key.
inline constexpr std::uint64_t kReadOverheadBytes = 200;

// Collects the actions of one call and applies the byte budget to messages.
class Outbox {
 public:
  explicit Outbox(TimePoint now) : budget_(now) {}

  // Returns whether the budget allowed the message.
  auto Send(const Member& to, FleetMessage message, TrafficClass traffic,
            TimePoint now) -> bool;

  // Sends to an address whose instance is not known.
  auto Send(const SocketAddress& to, FleetMessage message, TrafficClass traffic,
            TimePoint now) -> bool;

  void Read(PlatformRead read, TimePoint now);

  void Add(FleetAction action);

  [[nodiscard]] auto Take() -> FleetActions {
    return std::exchange(actions_, {});
  }

  [[nodiscard]] auto budget() const -> const ByteBudget& { return budget_; }

 private:
  ByteBudget budget_;
  FleetActions actions_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_OUTBOX_H_
