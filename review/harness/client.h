#ifndef HEMLOCKWICK_REVIEW_CLIENT_H_
#define HEMLOCKWICK_REVIEW_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "loop.h"
#include "net.h"
#include "packet.h"

namespace review {

// How a client uses a flow.
struct FlowPlan {
  std::string zone;
  Address route;
  std::string name;      // Prefix of the ids of its requests.
  int requests = 1;      // On this flow, one after the other.
  Seconds pause = 0.5;   // Mean time between a response and the next request.
  Seconds deadline = 1;  // Of each request.
  // The flow is closed after a response that comes later than this.
  Seconds until = 1e9;
};

enum class FlowEnd : std::uint8_t {
  kDone,           // All requests were answered.
  kNeverOpened,    // No SYN+ACK in time, or a reset before it.
  kResetBySystem,  // An open flow, by a machine of the system.
  kResetByBackend,
  kDeadline,  // A request was not answered in time.
};

[[nodiscard]] auto ToText(FlowEnd end) -> std::string;

struct ClientEvents {
  // Gives a packet to the routers.
  std::function<void(const FlowId&, const std::string& zone,
                     std::string_view bytes, const UdpSocket& socket)>
      send;
  // Whether a datagram from a backend is lost on the client's link.
  std::function<bool()> is_lost;
  // A request leaves the client for the first time.
  std::function<void(const FlowId&, const std::string& request)> sent;
  std::function<void(const FlowId&, const std::string& request)> answered;
  // The machine at `machine` has reset the flow, which the client holds open.
  std::function<void(const FlowId&, Ip machine, std::uint32_t seq,
                     std::uint32_t last_ack, const std::string& waiting)>
      reset;
  // The client takes the SYN+ACK of a second backend for its flow.
  std::function<void(const FlowId&)> second_syn_ack;
  // The client has ended the flow.
  std::function<void(const FlowId&, FlowEnd)> ended;
  // A packet that is neither a backend's nor a reset of the system.
  std::function<void(const FlowId&)> foreign;
};

// Stand-in for the clients at one address (PROTOCOL.md, Flows).
class ClientHost {
 public:
  ClientHost(Loop& loop, Ip ip, std::uint64_t seed,
             std::function<bool(Ip)> is_machine, const ClientEvents& events);

  // Ports are taken one after the other, beginning here.
  void set_next_port(std::uint16_t port) { next_port_ = port; }

  // Opens a flow from a new port; `then` is called when it has ended.
  void Open(const FlowPlan& plan, std::function<void(FlowEnd)> then);

 private:
  enum class State : std::uint8_t { kOpening, kOpen, kClosing };
  struct Flow {
    FlowPlan plan;
    std::function<void(FlowEnd)> then;
    State state = State::kOpening;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    std::uint32_t echo = 0;
    std::uint32_t peer = 0;  // Sequence number of the SYN+ACK it acknowledged.
    int done = 0;
    std::string request;  // That waits for its response.
    std::uint32_t acked = 0;
  };
  using FlowPtr = std::shared_ptr<Flow>;

  void Receive(std::string_view bytes, const Address& sender);
  void FromMachine(const FlowId& id, const FlowPtr& flow, const Packet& packet,
                   Ip machine);
  void FromBackend(const FlowId& id, const FlowPtr& flow, const Packet& packet);
  void SendSyn(const FlowId& id, const FlowPtr& flow, std::uint32_t copy);
  void NextRequest(const FlowId& id, const FlowPtr& flow);
  void SendRequest(const FlowId& id, const FlowPtr& flow, int number,
                   Seconds again);
  void Send(const FlowId& id, const Flow& flow, Packet packet);
  void Close(const FlowId& id, const FlowPtr& flow, FlowEnd end);
  void SendFin(const FlowId& id, const FlowPtr& flow, Seconds again, int left);
  void End(const FlowId& id, const FlowPtr& flow, FlowEnd end);
  [[nodiscard]] auto IsCurrent(const FlowId& id, const FlowPtr& flow) const
      -> bool;

  Loop& loop_;
  const Ip ip_;
  const std::function<bool(Ip)> is_machine_;
  const ClientEvents& events_;
  std::mt19937_64 random_;
  std::uint16_t next_port_ = 20000;
  std::map<FlowId, FlowPtr> flows_;
  UdpSocket socket_;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_CLIENT_H_
