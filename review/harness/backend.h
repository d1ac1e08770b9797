#ifndef HEMLOCKWICK_REVIEW_BACKEND_H_
#define HEMLOCKWICK_REVIEW_BACKEND_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "loop.h"
#include "net.h"
#include "packet.h"

namespace review {

inline constexpr std::size_t kWindowPackets = 16;
inline constexpr Seconds kFirstResend = 0.2;
inline constexpr Seconds kLongestResend = 1.6;
inline constexpr int kMaxBackendResends = 8;

// What a backend tells the rest of the test.
struct BackendEvents {
  // A packet of a flow has arrived, from the machine at `sender`.
  std::function<void(std::uint64_t backend, const Packet&, Ip sender)> arrived;
  // The flow is open here.
  std::function<void(std::uint64_t backend, const FlowId&)> opened;
  // A request begins to run.
  std::function<void(std::uint64_t backend, const std::string& request)> ran;
  // The backend has closed the flow, or it never opened.
  std::function<void(std::uint64_t backend, const FlowId&)> closed;
  // A SYN got no answer because the backend is full.
  std::function<void(std::uint64_t backend)> full;
  // A packet was changed on its way.
  std::function<void(std::uint64_t backend)> damaged;
};

// Stand-in for a backend (PROTOCOL.md, Flows and Backends). Requests and
// responses fit into one packet each.
class Backend {
 public:
  Backend(Loop& loop, std::uint64_t id, std::string service, std::string zone,
          const Address& address, std::uint64_t seed,
          const BackendEvents& events);

  [[nodiscard]] auto id() const -> std::uint64_t { return id_; }
  [[nodiscard]] auto key() const -> std::string;
  // Makes the work of requests `factor` times as long.
  void SetSlowness(double factor) { slowness_ = factor; }

  // The number of flows that it holds. When it is full, it sends nothing in
  // answer to a SYN.
  void set_max_connections(std::size_t flows) { max_connections_ = flows; }

  // Its entry in the store.
  [[nodiscard]] auto Entry() const -> std::string;

 private:
  struct Flow {
    std::uint32_t iss = 0;       // Sequence number of its SYN+ACK.
    std::uint32_t expected = 0;  // Next byte of the client.
    std::uint32_t sent = 0;      // Next byte to send.
    std::uint32_t acked = 0;     // What the client has acknowledged.
    std::uint32_t echo = 0;
    bool open = false;
    bool closed = false;
    std::uint64_t serial = 0;
    Seconds last_packet = 0;
  };

  void Receive(std::string_view bytes, const Address& sender);
  void Handle(const Packet& packet);
  void HandleSyn(const FlowId& id, const Packet& packet);
  void HandleData(const FlowId& id, Flow& flow, const Packet& packet);
  void SendSynAck(const FlowId& id, std::uint64_t serial, Seconds again,
                  int resends);
  void SendData(const FlowId& id, std::uint64_t serial, std::uint32_t seq,
                const std::string& data, Seconds again, int resends);
  void SendAck(const FlowId& id, const Flow& flow);
  void RunNext();
  void CloseIdle();
  auto FindFlow(const FlowId& id, std::uint64_t serial) -> Flow*;
  void Send(const FlowId& id, Packet packet);

  Loop& loop_;
  const std::uint64_t id_;
  const std::string service_;
  const std::string zone_;
  const Address address_;
  const BackendEvents& events_;
  std::mt19937_64 random_;
  std::map<FlowId, Flow> flows_;
  std::uint64_t next_serial_ = 1;
  struct Job {
    FlowId flow;
    std::uint64_t serial = 0;
    std::string request;
  };
  std::deque<Job> queue_;
  int running_ = 0;
  double slowness_ = 1;
  std::size_t max_connections_ = 2000;
  UdpSocket socket_;
};

}  // namespace review

#endif  // HEMLOCKWICK_REVIEW_BACKEND_H_
