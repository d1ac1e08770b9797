#ifndef HEMLOCKWICK_STANDIN_FLOW_ENDPOINT_H_
#define HEMLOCKWICK_STANDIN_FLOW_ENDPOINT_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <thread>
#include <unordered_set>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Runtime/file_descriptor.h"

namespace hemlockwick {

// Stands in for an endpoint that receives GUE datagrams, keeps the flows that
// were opened at it and answers their callers directly. It resets packets of
// flows that it does not know, as a TCP host does.
class FlowEndpoint {
 public:
  // Answers go to `caller`; `service` is the address that it serves.
  [[nodiscard]] static auto Start(std::uint32_t number, SocketAddress service,
                                  SocketAddress caller)
      -> Result<std::unique_ptr<FlowEndpoint>>;

  [[nodiscard]] auto address() const -> SocketAddress { return address_; }

  // Flows opened here so far.
  [[nodiscard]] auto opened() const -> std::size_t { return opened_; }

  // Packets of another service.
  [[nodiscard]] auto foreign() const -> std::size_t { return foreign_; }

 private:
  FlowEndpoint(std::uint32_t number, SocketAddress service,
               SocketAddress caller, FileDescriptor socket);
  void Run(const std::stop_token& stop);
  void Receive();

  const std::uint32_t number_;
  const SocketAddress service_;
  const SocketAddress caller_;
  const FileDescriptor socket_;
  const SocketAddress address_;
  std::unordered_set<std::uint32_t> flows_;
  std::atomic<std::size_t> opened_{0};
  std::atomic<std::size_t> foreign_{0};
  std::jthread thread_;  // Last: it uses the members above.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_FLOW_ENDPOINT_H_
