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

// A message to another instance; `plane` says which module decodes the body.
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

// Sends messages to other instances by JSON-RPC on a few threads. A peer that
// does not answer holds up at most two of them and none of its callers.
class PeerSender {
 public:
  using OnFailed = std::function<void(const PeerMessage&)>;

  // `on_failed` runs on any thread for each message that was not taken.
  PeerSender(InstanceId self, EventLog& events, const SystemClock& clock,
             OnFailed on_failed);

  // Returns at once.
  void Send(PeerMessage message);

  [[nodiscard]] auto stats() const -> PeerSenderStats;

 private:
  // Messages to one address.
  struct PeerQueue {
    std::deque<PeerMessage> waiting;
    std::size_t active_threads = 0;
  };

  // Sends the messages of a lane until it is empty.
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
  ThreadPool pool_;  // Last, so that its threads end first.
};

}  // namespace hemlockwick

#endif  // HEMLOCKWICK_RUNTIME_PEER_SENDER_H_
