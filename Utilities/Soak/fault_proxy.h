#ifndef HEMLOCKWICK_SOAK_FAULT_PROXY_H_
#define HEMLOCKWICK_SOAK_FAULT_PROXY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

#include "Core/net_address.h"

namespace hemlockwick::soak {

// What a proxy does with the connections through it.
enum class LinkFault : std::uint8_t {
  kNone,
  kDelay,      // Bytes arrive late, both ways.
  kSilence,    // Nothing passes, and connections stay open.
  kNoAnswers,  // Requests pass, answers do not: cut one way.
  kReset,      // Connections are reset, new ones too.
};

// Passes TCP connections on to one address, with faults.
class FaultProxy {
 public:
  // Listens at `local`; throws boost::system::system_error when it is taken.
  FaultProxy(boost::asio::io_context& context, const SocketAddress& local,
             const SocketAddress& remote);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  auto operator=(const FaultProxy&) -> FaultProxy& = delete;

  // Silences the connections that are open for good; new ones work.
  void SilenceOpen();

  // Changes the fault for connections that are open and to come.
  void Set(LinkFault fault, std::chrono::milliseconds delay = {});

 private:
  class Pair;
  struct State {
    LinkFault fault = LinkFault::kNone;
    std::chrono::milliseconds delay{0};
  };

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint remote_;
  const std::shared_ptr<State> state_ = std::make_shared<State>();
  std::vector<std::weak_ptr<Pair>> pairs_;
};

}  // namespace hemlockwick::soak

#endif  // HEMLOCKWICK_SOAK_FAULT_PROXY_H_
