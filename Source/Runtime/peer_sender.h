#ifndef HEMLOCKWICK_RUNTIME_PEER_SENDER_H_
#define HEMLOCKWICK_RUNTIME_PEER_SENDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "Core/ids.h"
#include "Core/net_address.h"
#include "Runtime/system_clock.h"
#include "Runtime/thread_pool.h"
#include "Timeline/event_log.h"

namespace hemlockwick {

// A message to another instance. `plane` selects the module that decodes the
// body: "fleet", "flow" or "request".
struct PeerMessage {
  InstanceId to;
  SocketAddress address;
  std::string plane;
  std::string body;
};

struct PeerSenderStats {
  std::uint64_t sent = 0;
  std::uint64_t failed = 0;
  std::uint64_t sent_bytes = 0;  // Bodies only.
};

// Sends messages to other instances by JSON-RPC on a thread pool. A peer that
// does not answer blocks at most two threads and never the callers of Send.
class PeerSender {
 public:
  using OnFailed = std::function<void(const PeerMessage&)>;

  // `on_failed` is called on any thread for each message that was not accepted.
  PeerSender(InstanceId self, EventLog& events, const SystemClock& clock,
             OnFailed on_failed);

  // Does not block.
  void Send(PeerMessage message);

  [[nodiscard]] auto stats() const -> PeerSenderStats;

 private:
  // Messages waiting for one address, and the number of threads that send them.
  struct PeerQueue {
    std::deque<PeerMessage> waiting;
    std::size_t active_threads = 0;
  };

  // Sends the messages queued for an address until none is left. If one fails,
  // all that are still queued are reported as failed.
  void SendQueued(const SocketAddress& address);
  auto Deliver(const PeerMessage& message) -> bool;
  void ReportFailed(const PeerMessage& message);
  auto TakeNext(const SocketAddress& address, PeerMessage& next) -> bool;
  auto TakeAllQueued(const SocketAddress& address) -> std::deque<PeerMessage>;

  const InstanceId self_;
  EventLog& events_;
  const SystemClock& clock_;
  const OnFailed on_failed_;
  mutable std::mutex mutex_;
  std::map<SocketAddress, PeerQueue> queues_;
  PeerSenderStats stats_;
  ThreadPool pool_;  // Declared last, so that its threads end first.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PEER_SENDER_H_
