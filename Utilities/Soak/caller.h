#ifndef HEMLOCKWICK_SOAK_CALLER_H_
#define HEMLOCKWICK_SOAK_CALLER_H_

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Soak/flow_ledger.h"
#include "Soak/world.h"

namespace hemlockwick::soak {

// What callers call back for.
struct CallerLinks {
  // The instance that the platform's routers give a packet of the flow to.
  std::function<SocketAddress(const SocketAddress& caller,
                              const SocketAddress& service,
                              const std::string& zone)>
      route;
  // Whether a packet to the instance is lost on the way.
  std::function<bool(Ipv4Address instance)> is_lost;
  // Whether a reset by the instance of a flow that is open at the address
  // `service` breaks a promise; `endpoint` is the endpoint's sequence number.
  std::function<bool(Ipv4Address instance, const SocketAddress& service,
                     std::uint64_t endpoint)>
      is_wrong_reset;
  // Whether a reset by the endpoint breaks a promise, as the flow is open at
  // another one.
  std::function<bool(const FlowId& id, std::uint64_t endpoint)>
      is_wrong_endpoint;
  // Takes a reset of an opening by the instance.
  std::function<void(Ipv4Address instance, const SocketAddress& service)>
      opening_refused;
  // Takes the outcome of a request.
  std::function<void(bool served, bool is_first_try)> done;
};

// A caller with one flow after the other. A feed keeps its flow for many safe
// requests, the others open a flow for each request.
class Caller : public std::enable_shared_from_this<Caller> {
 public:
  enum class Habit : std::uint8_t { kFeed, kOrders };

  // Throws boost::system::system_error when the address is taken.
  Caller(World& world, Ipv4Address ip, std::string zone, Habit habit,
         const SocketAddress& service, const CallerLinks& links);

  void Start();

  // Ends after the request in progress.
  void Stop() { stopping_ = true; }
  [[nodiscard]] auto has_stopped() const -> bool { return stopped_; }

  // Takes a packet of an endpoint; `endpoint` is its number.
  void FromEndpoint(const Packet& packet, std::uint64_t endpoint);

  [[nodiscard]] auto ip() const -> Ipv4Address { return ip_; }

 private:
  enum class State : std::uint8_t { kIdle, kOpening, kOpen };

  void Receive();
  void FromInstance(const Packet& packet, Ipv4Address instance);
  void NextRequest();
  void Try();
  void OpenFlow();
  void SendOpening(std::uint32_t copy);
  void SendRequest(Duration again);
  void Send(Packet packet);
  void CloseFlow();
  void Served();
  void TryFailed(bool may_have_run);
  void Finish(bool served);

  World& world_;
  const Ipv4Address ip_;
  const std::string zone_;
  const Habit habit_;
  const SocketAddress service_;
  const CallerLinks& links_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::ip::udp::endpoint sender_;
  std::array<std::uint8_t, 2048> buffer_{};

  State state_ = State::kIdle;
  std::uint16_t port_ = 1024;
  std::uint32_t seq_ = 0;
  std::uint32_t ack_ = 0;
  std::uint32_t echo_ = 0;
  std::uint64_t endpoint_ = 0;  // Where the flow is open.
  bool sent_ = false;           // The request was sent on an open flow.

  std::uint64_t request_number_ = 0;
  std::string request_;  // Empty between requests.
  int tries_ = 0;
  // Changes with each try, so that timers of earlier ones do nothing.
  std::uint64_t try_number_ = 0;
  bool stopping_ = false;
  bool stopped_ = false;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_CALLER_H_
