#ifndef HEMLOCKWICK_STANDIN_FLOW_CALLER_H_
#define HEMLOCKWICK_STANDIN_FLOW_CALLER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

#include "Core/error.h"
#include "Core/net_address.h"
#include "Core/time.h"
#include "Runtime/file_descriptor.h"
#include "StandIn/fabric.h"

namespace hemlockwick {

struct FlowTotals {
  std::size_t open = 0;
  std::size_t broken = 0;
  std::uint64_t answers = 0;
  // Open flows by the number of their endpoint.
  std::map<std::uint32_t, std::size_t> by_endpoint;
};

// Stands in for callers with long-lived flows: sends a packet of each flow
// several times a second by way of the fabric and repeats it until an endpoint
// answers. A flow is broken when it is reset, answered by another endpoint
// than the one that opened it, or not answered for `answer_timeout`.
class FlowCaller {
 public:
  [[nodiscard]] static auto Start(SocketAddress service,
                                  Duration answer_timeout)
      -> Result<std::unique_ptr<FlowCaller>>;
  ~FlowCaller();
  FlowCaller(const FlowCaller&) = delete;
  auto operator=(const FlowCaller&) -> FlowCaller& = delete;

  // Where endpoints send their answers.
  [[nodiscard]] auto address() const -> SocketAddress { return address_; }

  // Begins to send through `fabric`, which must outlive the caller.
  void Begin(Fabric& fabric);

  // Adds flows; returns the number of the first.
  auto OpenMore(std::size_t count) -> std::uint32_t;

  // Figures of the flows numbered from `first` on.
  [[nodiscard]] auto totals(std::uint32_t first = 0) const -> FlowTotals;

 private:
  using Clock = std::chrono::steady_clock;

  struct Flow {
    std::uint32_t sequence = 0;  // Of the packet that waits for an answer.
    std::optional<std::uint32_t> endpoint;
    Clock::time_point answered = Clock::now();
    bool broken = false;
  };

  FlowCaller(SocketAddress service, Duration answer_timeout,
             FileDescriptor socket);
  void Send(Fabric& fabric, const std::stop_token& stop);
  void SendAll(Fabric& fabric);
  void Receive(const std::stop_token& stop);

  const SocketAddress service_;
  const Duration answer_timeout_;
  const FileDescriptor socket_;
  const SocketAddress address_;
  mutable std::mutex mutex_;
  std::vector<Flow> flows_;
  std::uint64_t answers_ = 0;
  std::jthread receiver_;  // Last: they use the members above.
  std::jthread sender_;
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_STANDIN_FLOW_CALLER_H_
