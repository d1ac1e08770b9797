#ifndef HEMLOCKWICK_FLEET_FLEET_NODE_H_
#define HEMLOCKWICK_FLEET_FLEET_NODE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Config/fleet_config.h"
#include "Core/finding.h"
#include "Core/ids.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Fleet/fleet_message.h"
#include "Fleet/member_view.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// A read of one platform value. With a positive `wait` it is a watch (long
// poll): the platform answers when the value's index exceeds `after` or when
// `wait` has elapsed.
struct PlatformRead {
  std::string key;
  std::uint64_t after = 0;
  Duration wait{0};
};

enum class PlatformStatus { kValue, kUnchanged, kMissing, kUnreachable };

// The platform's answer to a PlatformRead of the same key.
struct PlatformAnswer {
  std::string key;
  PlatformStatus status = PlatformStatus::kUnreachable;
  std::uint64_t index = 0;
  std::string body;
};

// Key of the platform's instance list, which lags behind the actual instances:
// a JSON array of {"name", "data_centre", "http", "packet", "leaving"}.
inline constexpr std::string_view kInstanceListKey = "platform/instances";

// Actions that the node returns for its adapter to carry out.
struct SendFleetMessage {
  InstanceId to;
  SocketAddress address;  // The peer's HTTP address.
  FleetMessage message;
};
struct ConfigInForce {
  std::shared_ptr<const FleetConfig> config;
};
struct ConfigRefused {
  Version version;
  std::string reason;
};
// The member view or its `refreshed` time has changed.
struct MembersChanged {};

using FleetAction = std::variant<SendFleetMessage, PlatformRead, ConfigInForce,
                                 ConfigRefused, MembersChanged>;
using FleetActions = std::vector<FleetAction>;

// Identity and bootstrap of an instance, from its settings.
struct FleetSettings {
  std::string name;
  std::string data_centre;
  SocketAddress http_address;
  SocketAddress packet_address;
  // HTTP addresses of peers to contact while no peer is known.
  std::vector<SocketAddress> seeds;
  std::uint64_t random_seed = 0;
};

// Decides on configuration and membership for one instance. Runs on the control
// thread; has no sockets and no clock of its own: the adapter passes in
// messages, answers and the time, and carries out the returned actions.
class FleetNode {
 public:
  FleetNode(const FleetSettings& settings, EventLog& events, TimePoint now);
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  auto operator=(const FleetNode&) -> FleetNode& = delete;

  // Runs everything that is due at `now`.
  auto OnTick(TimePoint now) -> FleetActions;

  // Returns when OnTick has to be called next.
  [[nodiscard]] auto NextTick() const -> TimePoint;

  auto OnPlatformAnswer(const PlatformAnswer& answer, TimePoint now)
      -> FleetActions;

  // Handles a message from a peer, request or reply. `from` is zero when the
  // sender's identity is not known yet.
  auto OnMessage(InstanceId from, const FleetMessage& message, TimePoint now)
      -> FleetActions;

  // Handles a message that could not be delivered.
  auto OnSendFailed(InstanceId to, TimePoint now) -> FleetActions;

  // Announces a planned stop.
  auto BeginLeave(TimePoint now) -> FleetActions;

  // The accepted configuration with the highest version; null before the first.
  [[nodiscard]] auto config() const -> std::shared_ptr<const FleetConfig>;

  [[nodiscard]] auto members() const -> const MemberView&;

  // Bytes of control traffic sent since start, as counted against the budget,
  // including the JSON-RPC and HTTP overhead.
  [[nodiscard]] auto sent_bytes() const -> std::uint64_t;

  // Messages that were not sent because the budget was used up.
  [[nodiscard]] auto refused_sends() const -> std::uint64_t;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_FLEET_FLEET_NODE_H_
