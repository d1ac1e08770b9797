#ifndef HEMLOCKWICK_SOAK_ENDPOINT_H_
#define HEMLOCKWICK_SOAK_ENDPOINT_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Soak/flow_ledger.h"
#include "Soak/world.h"

namespace hemlockwick::soak {

// Counts how often each request was run.
class RunLedger {
 public:
  // Notes a run; returns how often the request has been run now.
  auto Note(const std::string& request) -> int { return ++runs_[request]; }

 private:
  std::map<std::string, int> runs_;
};

// What endpoints call back for.
struct EndpointLinks {
  // Sends a packet to a caller, from the endpoint with that number.
  std::function<void(const Packet&, std::uint64_t endpoint)> to_caller;
  // Whether an instance, by its address, is calm, and so is the platform.
  std::function<bool(Ipv4Address instance)> is_calm;
  // Whether a packet from the instance is lost on the way.
  std::function<bool(Ipv4Address instance)> is_lost;
  // The service of an address; empty when no route ever named it.
  std::function<std::string(const SocketAddress&)> service_of;
  // When the address's route was removed, if it was.
  std::function<std::optional<TimePoint>(const SocketAddress&)> removed_at;
  // Whether no new flow may reach the zone through the instance, because it was
  // evacuated.
  std::function<bool(const std::string& zone, Ipv4Address instance)>
      is_evacuated;
  FlowLedger* flows = nullptr;
};

// An endpoint of the platform: takes flows, runs their requests, answers the
// callers directly.
class Endpoint {
 public:
  // Throws boost::system::system_error when the address is taken.
  Endpoint(World& world, std::uint64_t id, std::string service,
           std::string zone, const SocketAddress& address, RunLedger& ledger,
           const EndpointLinks& links);

  [[nodiscard]] auto key() const -> std::string;
  // What the endpoint writes to the store.
  [[nodiscard]] auto entry() const -> std::string;
  [[nodiscard]] auto service() const -> const std::string& { return service_; }
  [[nodiscard]] auto zone() const -> const std::string& { return zone_; }
  [[nodiscard]] auto address() const -> SocketAddress { return address_; }
  [[nodiscard]] auto id() const -> std::uint64_t { return id_; }
  [[nodiscard]] auto calm() -> Calm& { return calm_; }

  // Notes that the store has taken the endpoint's word that it leaves.
  void Drain(TimePoint now) { draining_since_ = now; }
  [[nodiscard]] auto is_draining() const -> bool {
    return draining_since_.has_value();
  }

  // Is cut off from everything until `end`; goes on afterwards with the flows
  // that it had.
  void CutOffUntil(TimePoint end);
  [[nodiscard]] auto is_cut_off() const -> bool;

  // Resets or leaves unanswered half of its requests until `end`.
  void FailUntil(TimePoint end);

  // Neither takes nor answers anything from now on.
  void End();
  [[nodiscard]] auto has_ended() const -> bool { return ended_; }

 private:
  struct Flow {
    std::uint32_t next_seq = 0;  // Expected from the caller.
    std::uint32_t seq = 0;       // Of the next byte to the caller.
    std::uint32_t echo = 0;
    bool open = false;
    int replies = 0;  // To the opening, sent again.
    Packet answer;    // The last one, to be sent again.
  };

  void Receive();
  void Handle(std::span<const std::uint8_t> bytes, Ipv4Address instance);
  void HandlePacket(const Packet& packet, Ipv4Address instance);
  void Open(const Packet& packet, Ipv4Address instance);
  void ReplyAgain(const FlowId& id, std::uint32_t seq, Duration again);
  void SendOpeningReply(const FlowId& id, const Flow& flow);
  void Forget(const FlowId& id);
  void CheckOpening(const Packet& packet, Ipv4Address instance);
  void Run(const FlowId& id, Flow& flow, const Packet& packet);
  void Answer(const FlowId& id, const std::string& request);
  [[nodiscard]] auto IsFailing() -> bool;
  void FailRequest(const Packet& packet);
  void Send(const Packet& packet);
  void Reply(const FlowId& id, Flow& flow, Packet packet);

  World& world_;
  const std::uint64_t id_;
  const std::string service_;
  const std::string zone_;
  const SocketAddress address_;
  RunLedger& ledger_;
  const EndpointLinks& links_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<std::uint8_t, 2048> buffer_{};
  std::map<FlowId, Flow> flows_;
  std::optional<TimePoint> draining_since_;
  Calm calm_;
  TimePoint cut_off_until_;
  TimePoint failing_until_;
  bool ended_ = false;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_ENDPOINT_H_
