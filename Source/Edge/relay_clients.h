#ifndef HEMLOCKWICK_EDGE_RELAY_CLIENTS_H_
#define HEMLOCKWICK_EDGE_RELAY_CLIENTS_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <unordered_map>

#include "Core/net_address.h"
#include "Core/time.h"
#include "Edge/relay_client.h"
#include "Runtime/system_clock.h"

namespace hemlockwick {

// Clients of the relays that an instance calls. Each is created when it is
// first needed and destroyed some time after its last use.
class RelayClients {
 public:
  // Both must outlive the clients.
  RelayClients(boost::asio::io_context& context, const SystemClock& clock)
      : context_(context), clock_(clock) {}

  // The client of a relay; valid until the next call of OnTick.
  auto At(const SocketAddress& relay, TimePoint now) -> RelayClient&;

  void OnTick(TimePoint now);

 private:
  struct Entry {
    std::unique_ptr<RelayClient> client;
    TimePoint used;
  };

  boost::asio::io_context& context_;
  const SystemClock& clock_;
  std::unordered_map<SocketAddress, Entry> entries_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_EDGE_RELAY_CLIENTS_H_
